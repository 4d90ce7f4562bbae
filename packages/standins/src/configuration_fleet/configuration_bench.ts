/**
 * Measures under virtual time how soon a configuration change is in force on
 * every node, and how many messages and platform calls it takes.
 */
import { EMPTY_CONFIGURATION, encodeRecord } from "@camphorlock/scheduler";
import type {
  ConfigurationValue,
  PeerMessage,
  Revision,
  TargetSpec,
} from "@camphorlock/types";
import type { PlatformFault } from "../platform/fault_plan.ts";
import { choosePartner, ConfigurationFleet } from "./configuration_fleet.ts";

const MS_PER_DAY = 86_400_000;
const MS_PER_SECOND = 1_000;
const JOIN_PHASE_MS = 15_000;
const IDLE_PHASE_MS = 60_000;
const STEP_MS = 10;
const TIMEOUT_MS = 60_000;

/** Bytes of a message between nodes, without the record in it. */
const MESSAGE_BYTES = 64;

/** Size, rate of changes, seed and faults of a bench run. */
export interface ConfigurationBenchOptions {
  readonly nodes: number;
  readonly regions: number;
  readonly targets: number;
  readonly changes: number;
  readonly changesPerDay: number;
  readonly seed: number;
  readonly faults?: readonly PlatformFault[];
}

/** Results of a bench run. Times are virtual milliseconds. */
export interface ConfigurationBenchResult {
  readonly nodes: number;
  readonly targets: number;
  readonly changes: number;
  /** Changes refused because the platform didn't respond in time. */
  readonly refused: number;
  /** From submission to acceptance. */
  readonly acceptedP50Ms: number;
  readonly acceptedP99Ms: number;
  /** From submission until the change is in force on the last node. */
  readonly inForceP50Ms: number;
  readonly inForceP99Ms: number;
  readonly inForceMaxMs: number;
  /** From acceptance until the change is in force on the last node. */
  readonly spreadP50Ms: number;
  readonly spreadP99Ms: number;
  /** From acceptance until every node has reported the change in force. */
  readonly evidenceP50Ms: number;
  readonly evidenceMaxMs: number;
  /** Configuration messages and bytes that a node sends for each change. */
  readonly messagesPerChangePerNode: number;
  readonly bytesPerChangePerNode: number;
  /** At the rate `changesPerDay`. */
  readonly bytesPerSecondPerNode: number;
  /** Calls of the fleet for each change, in excess of an idle fleet's. */
  readonly platformCallsPerChange: number;
  /** Calls of an idle fleet, including each renewal of a watch. */
  readonly idlePlatformCallsPerSecond: number;
  readonly checkpointBytes: number;
}

/** Runs a fleet through its start, an idle phase and a series of changes. */
export function runConfigurationBench(
  options: ConfigurationBenchOptions,
): ConfigurationBenchResult {
  return new BenchRun(options).run();
}

interface AcceptedChange {
  readonly revision: Revision;
  readonly atMs: number;
}

interface ChangeTimes {
  readonly acceptedMs: number;
  readonly inForceMs: number;
}

class BenchRun {
  readonly #options: ConfigurationBenchOptions;
  readonly #value: ConfigurationValue;
  readonly #fleet: ConfigurationFleet;
  readonly #accepted = new Map<string, AcceptedChange>();
  readonly #refused = new Set<string>();
  readonly #evidence: number[] = [];
  #messages = 0;
  #bytes = 0;

  constructor(options: ConfigurationBenchOptions) {
    this.#options = options;
    this.#value = buildValue(options);
    this.#fleet = new ConfigurationFleet({
      nodes: options.nodes,
      regions: options.regions,
      seed: options.seed,
      faults: options.faults ?? [],
      initial: {
        value: this.#value,
        by: { partner: "zincir", operator: "installer" },
        atMs: 0,
      },
      onSend: (_from, message) => this.#recordMessage(message),
      onNotice: (_from, notice) => {
        if (notice.kind === "change_accepted") {
          const { requestId, revision } = notice;
          const atMs = this.#fleet.nowMs;
          this.#accepted.set(requestId, { revision, atMs });
        }
        if (notice.kind === "change_refused") {
          this.#refused.add(notice.requestId);
        }
        if (notice.kind === "change_in_force") {
          this.#evidence.push(notice.elapsedMs);
        }
      },
    });
  }

  run(): ConfigurationBenchResult {
    const { nodes, targets, changes, changesPerDay } = this.#options;
    const intervalMs = MS_PER_DAY / changesPerDay;
    this.#fleet.runUntil(JOIN_PHASE_MS);
    const idleCalls = this.#countDuring(IDLE_PHASE_MS, () => {});
    const idleRate = idleCalls * MS_PER_SECOND / IDLE_PHASE_MS;
    this.#messages = 0;
    this.#bytes = 0;
    const acceptedMs: number[] = [];
    const inForceMs: number[] = [];
    let calls = 0;
    for (let index = 0; index < changes; index += 1) {
      calls += this.#countDuring(intervalMs, () => {
        const times = this.#runChange(index);
        if (times === undefined) return;
        acceptedMs.push(times.acceptedMs);
        inForceMs.push(times.inForceMs);
      });
    }
    const spreadMs = inForceMs.map((each, index) => {
      return each - (acceptedMs[index] ?? 0);
    });
    const idleDuring = idleRate * changes * intervalMs / MS_PER_SECOND;
    const perNode = changes * nodes;
    const bytesPerChange = this.#bytes / perNode;
    return {
      nodes,
      targets,
      changes,
      refused: this.#refused.size,
      acceptedP50Ms: computeQuantile(acceptedMs, 0.5),
      acceptedP99Ms: computeQuantile(acceptedMs, 0.99),
      inForceP50Ms: computeQuantile(inForceMs, 0.5),
      inForceP99Ms: computeQuantile(inForceMs, 0.99),
      inForceMaxMs: Math.max(...inForceMs),
      spreadP50Ms: computeQuantile(spreadMs, 0.5),
      spreadP99Ms: computeQuantile(spreadMs, 0.99),
      evidenceP50Ms: computeQuantile(this.#evidence, 0.5),
      evidenceMaxMs: Math.max(...this.#evidence),
      messagesPerChangePerNode: this.#messages / perNode,
      bytesPerChangePerNode: bytesPerChange,
      bytesPerSecondPerNode: bytesPerChange * MS_PER_SECOND / intervalMs,
      platformCallsPerChange: (calls - idleDuring) / changes,
      idlePlatformCallsPerSecond: idleRate,
      checkpointBytes: this.#countCheckpointBytes(),
    };
  }

  /** Submits one change and waits until it is in force on the last node. */
  #runChange(index: number): ChangeTimes | undefined {
    const startedAtMs = this.#fleet.nowMs;
    const requestId = `change-${index}`;
    this.#fleet.sendChange((index * 7) % this.#options.nodes, {
      requestId,
      change: {
        kind: "set_budget",
        budget: "team",
        name: `team-${index % 250}`,
        limitMicros: 1_000_000 + index,
      },
      text: `set budget team team-${index % 250} to 1.00`,
      by: { partner: choosePartner(index), operator: "operator" },
      atMs: startedAtMs,
    });
    const isDecided = (): boolean => {
      return this.#accepted.has(requestId) || this.#refused.has(requestId);
    };
    this.#runWhile(() => !isDecided());
    const accepted = this.#accepted.get(requestId);
    if (accepted === undefined) return undefined;
    this.#runWhile(() => !this.#isInForce(accepted.revision));
    return {
      acceptedMs: accepted.atMs - startedAtMs,
      inForceMs: this.#fleet.nowMs - startedAtMs,
    };
  }

  #runWhile(isPending: () => boolean): void {
    const untilMs = this.#fleet.nowMs + TIMEOUT_MS;
    while (isPending() && this.#fleet.nowMs < untilMs) {
      this.#fleet.runUntil(this.#fleet.nowMs + STEP_MS);
    }
  }

  #isInForce(revision: Revision): boolean {
    return [...this.#fleet.nodes.values()].every((node) => {
      return node.configuration.revision >= revision;
    });
  }

  /** Counts the platform calls during a period, those of `work` included. */
  #countDuring(lengthMs: number, work: () => void): number {
    const { counts } = this.#fleet.store;
    const before = counts.reads + counts.writes;
    const untilMs = this.#fleet.nowMs + lengthMs;
    work();
    // Runs at least one more step, to count the evidence of the last change.
    this.#fleet.runUntil(Math.max(untilMs, this.#fleet.nowMs + STEP_MS));
    return counts.reads + counts.writes - before;
  }

  #recordMessage(message: PeerMessage): void {
    switch (message.kind) {
      case "configuration_offer":
        this.#messages += 1;
        this.#bytes += MESSAGE_BYTES + message.value.length;
        return;
      case "configuration_request":
        this.#messages += 1;
        this.#bytes += MESSAGE_BYTES;
        return;
      default:
        return;
    }
  }

  #countCheckpointBytes(): number {
    return encodeRecord({
      revision: 1,
      changeId: "bench",
      by: { partner: "zincir", operator: "installer" },
      command: "",
      atMs: 0,
      patch: {},
      full: this.#value,
    }).length;
  }
}

/** Builds a configuration with 250 teams, 16 models and the given targets. */
function buildValue(options: ConfigurationBenchOptions): ConfigurationValue {
  const { targets, regions } = options;
  return {
    ...EMPTY_CONFIGURATION,
    targets: Array.from({ length: targets }, (_, index): TargetSpec => ({
      targetId: `engine-${index}`,
      kind: "engine",
      serves: [`model-${index % 16}`],
      region: `region-${index % regions}`,
      failureDomain: `region-${index % regions}-${index % 4}`,
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`,
      checksFencing: index % 3 !== 0,
      leaving: false,
    })),
    models: Array.from({ length: 16 }, (_, index) => ({
      model: `model-${index}`,
      promptMicros: 400,
      cachedMicros: 40,
      completionMicros: 1_600,
    })),
    teams: Array.from({ length: 250 }, (_, index) => ({
      team: `team-${index}`,
      partner: choosePartner(index),
      sharedWork: index % 10 === 0,
    })),
  };
}

function computeQuantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
  return sorted[index] ?? 0;
}

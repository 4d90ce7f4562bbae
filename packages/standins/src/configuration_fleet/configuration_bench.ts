/**
 * Measures how fast a change of the configuration is in force on every node,
 * and what that costs, under virtual time.
 */
import { EMPTY_CONFIGURATION, encodeRecord } from "@camphorlock/scheduler";
import type {
  ConfigurationValue,
  PeerMessage,
  TargetSpec,
} from "@camphorlock/types";
import { choosePartner, ConfigurationFleet } from "./configuration_fleet.ts";

const MS_PER_DAY = 86_400_000;
const MS_PER_SECOND = 1_000;
const JOIN_MS = 15_000;
const IDLE_MS = 60_000;
const STEP_MS = 10;
const LONGEST_MS = 60_000;

/** Bytes of a message between nodes beside the record that it carries. */
const MESSAGE_BYTES = 64;

/** What to measure. */
export interface ConfigurationBenchOptions {
  readonly nodes: number;
  readonly regions: number;
  readonly targets: number;
  readonly changes: number;
  readonly changesPerDay: number;
  readonly seed: number;
}

/** What was measured. Times are virtual milliseconds. */
export interface ConfigurationBenchResult {
  readonly nodes: number;
  readonly targets: number;
  readonly changes: number;
  /** From the order to `accepted`. */
  readonly acceptedP50Ms: number;
  readonly acceptedMaxMs: number;
  /** From the order until the last node has the change in force. */
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
  /** From acceptance until every node's own report has arrived. */
  readonly evidenceP50Ms: number;
  readonly evidenceMaxMs: number;
  /** Configuration messages and bytes that one node sends for a change. */
  readonly messagesPerChangePerNode: number;
  readonly bytesPerChangePerNode: number;
  /** At the given rate of changes. */
  readonly bytesPerSecondPerNode: number;
  /** Calls of the whole fleet for a change, beside those of an idle fleet. */
  readonly platformCallsPerChange: number;
  /** Calls of an idle fleet, each renewed watch counted. */
  readonly idlePlatformCallsPerSecond: number;
  readonly checkpointBytes: number;
}

/** Runs a fleet through start, an idle time and a row of changes. */
export function runConfigurationBench(
  options: ConfigurationBenchOptions,
): ConfigurationBenchResult {
  return new BenchRun(options).run();
}

class BenchRun {
  readonly #options: ConfigurationBenchOptions;
  readonly #value: ConfigurationValue;
  readonly #fleet: ConfigurationFleet;
  readonly #accepted = new Map<string, number>();
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
      initial: {
        value: this.#value,
        by: { partner: "zincir", operator: "installer" },
        atMs: 0,
      },
      onSend: (_from, message) => this.#recordMessage(message),
      onNotice: (_from, notice) => {
        if (notice.kind === "change_accepted") {
          this.#accepted.set(notice.requestId, this.#fleet.nowMs);
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
    this.#fleet.runUntil(JOIN_MS);
    const idleCalls = this.#countDuring(IDLE_MS, () => {});
    const idleRate = idleCalls * MS_PER_SECOND / IDLE_MS;
    this.#messages = 0;
    this.#bytes = 0;
    const acceptedMs: number[] = [];
    const inForceMs: number[] = [];
    let calls = 0;
    for (let index = 0; index < changes; index += 1) {
      calls += this.#countDuring(intervalMs, () => {
        const times = this.#runChange(index);
        acceptedMs.push(times.acceptedMs);
        inForceMs.push(times.inForceMs);
      });
    }
    const idleDuring = idleRate * changes * intervalMs / MS_PER_SECOND;
    const perNode = changes * nodes;
    const bytesPerChange = this.#bytes / perNode;
    return {
      nodes,
      targets,
      changes,
      acceptedP50Ms: findMedian(acceptedMs),
      acceptedMaxMs: Math.max(...acceptedMs),
      inForceP50Ms: findMedian(inForceMs),
      inForceMaxMs: Math.max(...inForceMs),
      evidenceP50Ms: findMedian(this.#evidence),
      evidenceMaxMs: Math.max(...this.#evidence),
      messagesPerChangePerNode: this.#messages / perNode,
      bytesPerChangePerNode: bytesPerChange,
      bytesPerSecondPerNode: bytesPerChange * MS_PER_SECOND / intervalMs,
      platformCallsPerChange: (calls - idleDuring) / changes,
      idlePlatformCallsPerSecond: idleRate,
      checkpointBytes: this.#countCheckpointBytes(),
    };
  }

  /** Orders one change and waits until the last node has it. */
  #runChange(
    index: number,
  ): { readonly acceptedMs: number; readonly inForceMs: number } {
    const startedAtMs = this.#fleet.nowMs;
    const requestId = `change-${index}`;
    const revision = index + 2;
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
    const isInForce = (): boolean => {
      return [...this.#fleet.nodes.values()].every((node) => {
        return node.configuration.revision >= revision;
      });
    };
    while (!isInForce() && this.#fleet.nowMs - startedAtMs < LONGEST_MS) {
      this.#fleet.runUntil(this.#fleet.nowMs + STEP_MS);
    }
    const acceptedAtMs = this.#accepted.get(requestId) ?? this.#fleet.nowMs;
    return {
      acceptedMs: acceptedAtMs - startedAtMs,
      inForceMs: this.#fleet.nowMs - startedAtMs,
    };
  }

  /** Counts platform calls while some time passes, work included. */
  #countDuring(lengthMs: number, work: () => void): number {
    const { counts } = this.#fleet.store;
    const before = counts.reads + counts.writes;
    const untilMs = this.#fleet.nowMs + lengthMs;
    work();
    // A tick follows the last change, so that its evidence is counted.
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

/** A configuration with the given number of targets, 250 teams, 16 models. */
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

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

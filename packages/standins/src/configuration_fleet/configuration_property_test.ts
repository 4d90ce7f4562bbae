/**
 * Checks the guarantees of the configuration under random schedules of faults:
 * lost and late responses, outages, partitions, restarts and racing operators.
 *
 * `CAMPHORLOCK_RUNS` sets the number of schedules, `CAMPHORLOCK_SEED` the seed.
 */
import {
  applyRecord,
  type ConfigurationNotice,
  decodeRecord,
  EMPTY_CONFIGURATION,
  formatRevisionKey,
} from "@camphorlock/scheduler";
import type {
  ChangeCommand,
  ConfigurationValue,
  RevisionRecord,
  VmId,
} from "@camphorlock/types";
import { expect } from "chai";
import fc from "fast-check";
import type { PlatformFault } from "../platform/fault_plan.ts";
import {
  choosePartner,
  ConfigurationFleet,
  formatVmId,
} from "./configuration_fleet.ts";

const NODES = 5;
const FAULTS_UNTIL_MS = 40_000;
const SETTLED_AT_MS = 75_000;
const RUNS = Number(process.env.CAMPHORLOCK_RUNS ?? 40);
const SEED = Number(process.env.CAMPHORLOCK_SEED ?? 20_261_204);

/** Time within which an isolated node must stop being ready. */
const CUT_OFF_WITHIN_MS = 10_000;

type Step =
  | {
    readonly kind: "change";
    readonly node: number;
    readonly operator: number;
    readonly command: number;
    readonly ifRevision: boolean;
    /** Also submits the change at a second node, under the same id. */
    readonly twice: boolean;
  }
  | { readonly kind: "restart"; readonly node: number }
  | { readonly kind: "stop"; readonly node: number }
  | {
    readonly kind: "isolate";
    readonly node: number;
    readonly platformToo: boolean;
    readonly lengthMs: number;
  };

interface TimedStep {
  readonly atMs: number;
  readonly step: Step;
}

interface RecordedNotice {
  readonly vmId: VmId;
  readonly incarnation: number;
  readonly atMs: number;
  readonly notice: ConfigurationNotice;
}

const INITIAL: ConfigurationValue = {
  ...EMPTY_CONFIGURATION,
  targets: ["engine-1", "engine-2"].map((targetId) => ({
    targetId,
    kind: "engine" as const,
    serves: ["model-a"],
    region: "region-0",
    failureDomain: "region-0-0",
    address: "10.1.0.1:8000",
    checksFencing: true,
    leaving: false,
  })),
  teams: [{ team: "designers", partner: "zincir", sharedWork: false }],
};

function buildCommand(number: number): ChangeCommand {
  switch (number % 4) {
    case 0:
      return {
        kind: "set_budget",
        budget: "team",
        name: "designers",
        limitMicros: number,
      };
    case 1:
      return {
        kind: "split_costs",
        costClass: "shared",
        shares: [
          { partner: "zincir", sharePpm: number },
          { partner: "okonkwo", sharePpm: 1_000_000 - number },
        ],
      };
    case 2:
      return {
        kind: "drain_target",
        targetId: number % 3 === 0 ? "engine-1" : "engine-2",
        draining: number % 2 === 0,
      };
    default:
      return { kind: "drain_vm", vmId: `vm-x${number}`, draining: true };
  }
}

const node = fc.nat(NODES - 1);
const interval = fc.record({
  fromMs: fc.nat(FAULTS_UNTIL_MS - 1),
  lengthMs: fc.integer({ min: 500, max: 15_000 }),
});
const faultKind = fc.constantFrom<PlatformFault["kind"]>(
  "outage",
  "silent",
  "lost_answer",
  "late_effect",
  "slow",
  "throttled",
);
const fault = fc.tuple(faultKind, interval).map(
  ([kind, { fromMs, lengthMs }]): PlatformFault => {
    const untilMs = Math.min(fromMs + lengthMs, FAULTS_UNTIL_MS);
    const common = { fromMs, untilMs, share: 0.4 };
    if (kind === "late_effect") return { kind, ...common, delayMs: 4_000 };
    if (kind === "slow") return { kind, ...common, maxDelayMs: 3_000 };
    return { kind, ...common };
  },
);
const change = fc.record({
  kind: fc.constant("change" as const),
  node,
  operator: fc.nat(3),
  command: fc.nat(1_000_000),
  ifRevision: fc.boolean(),
  twice: fc.boolean(),
});
const isolation = fc.record({
  kind: fc.constant("isolate" as const),
  node,
  platformToo: fc.boolean(),
  lengthMs: fc.integer({ min: 500, max: 16_000 }),
});
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: change },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("restart" as const), node }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("stop" as const), node }),
  },
  { weight: 2, arbitrary: isolation },
);
const timed = fc.record({
  atMs: fc.integer({ min: 500, max: FAULTS_UNTIL_MS }),
  step,
});
const schedule = fc.record({
  seed: fc.nat(1_000_000),
  faults: fc.array(fault, { maxLength: 6 }),
  steps: fc.array(timed, { minLength: 5, maxLength: 40 }),
});

/** Runs one schedule and records the notices of the nodes. */
class ScheduleRun {
  readonly notices: RecordedNotice[] = [];
  readonly fleet: ConfigurationFleet;
  readonly changeIds = new Map<string, string>();
  readonly isolatedSince = new Map<number, number>();
  #requests = 0;

  constructor(seed: number, faults: readonly PlatformFault[]) {
    this.fleet = new ConfigurationFleet({
      nodes: NODES,
      regions: 3,
      seed,
      faults,
      initial: {
        value: INITIAL,
        by: { partner: "zincir", operator: "installer" },
        atMs: 0,
      },
      onNotice: ({ vmId, incarnation }, notice) => {
        const atMs = this.fleet.nowMs;
        this.notices.push({ vmId, incarnation, atMs, notice });
      },
    });
  }

  apply(steps: readonly TimedStep[]): void {
    const sorted = [...steps].sort((a, b) => a.atMs - b.atMs);
    for (const { atMs, step } of sorted) {
      this.runTo(atMs);
      this.#applyStep(step);
    }
    this.runTo(FAULTS_UNTIL_MS);
    this.fleet.plan.removeAll();
    for (let index = 0; index < NODES; index += 1) {
      this.#reconnect(index);
      if (this.fleet.nodes.has(formatVmId(index))) continue;
      this.fleet.startNode(index);
    }
    this.runTo(SETTLED_AT_MS);
  }

  /** Runs to a time, and checks isolated nodes every second. */
  runTo(untilMs: number): void {
    while (this.fleet.nowMs < untilMs) {
      const nextMs = Math.min(untilMs, this.fleet.nowMs + 1_000);
      this.fleet.runUntil(nextMs);
      for (const [index, sinceMs] of this.isolatedSince) {
        if (nextMs - sinceMs < CUT_OFF_WITHIN_MS) continue;
        const process = this.fleet.nodes.get(formatVmId(index));
        expect(process?.configuration.isReady ?? false, "cut off").to.equal(
          false,
        );
      }
    }
  }

  #applyStep(step: Step): void {
    switch (step.kind) {
      case "change":
        this.#sendChange(step);
        return;
      case "restart":
        this.fleet.startNode(step.node);
        return;
      case "stop":
        this.fleet.stopNode(step.node);
        return;
      case "isolate":
        this.fleet.setPartition(step.node, step.node + 1);
        if (step.platformToo) {
          this.fleet.setPlatformReachable(step.node, false);
          this.isolatedSince.set(step.node, this.fleet.nowMs);
        }
        this.fleet.queue.add(step.lengthMs, () => this.#reconnect(step.node));
    }
  }

  #reconnect(index: number): void {
    this.fleet.setPartition(index, 0);
    this.fleet.setPlatformReachable(index, true);
    this.isolatedSince.delete(index);
  }

  #sendChange(step: Extract<Step, { readonly kind: "change" }>): void {
    const nodes = step.twice
      ? [step.node, (step.node + 1) % NODES]
      : [step.node];
    const changeId = `change-${this.#requests}`;
    for (const each of nodes) {
      this.#requests += 1;
      const requestId = `request-${this.#requests}`;
      this.changeIds.set(requestId, changeId);
      const current = this.fleet.nodes.get(formatVmId(each))?.configuration;
      this.fleet.sendChange(each, {
        requestId,
        changeId,
        change: buildCommand(step.command),
        text: `command ${step.command}`,
        by: {
          partner: choosePartner(step.operator),
          operator: `operator-${step.operator}`,
        },
        atMs: this.fleet.nowMs,
        ...(step.ifRevision && current !== undefined
          ? { ifRevision: current.revision }
          : {}),
      });
    }
  }

  readChain(): readonly RevisionRecord[] {
    const records: RevisionRecord[] = [];
    for (let revision = 1;; revision += 1) {
      const key = formatRevisionKey(revision);
      const response = this.fleet.store.handle({ kind: "get", key }, 0);
      if (response.kind !== "found") return records;
      records.push(decodeRecord(response.object.value)._unsafeUnwrap());
    }
  }
}

function checkRevisionsIncrease(run: ScheduleRun): void {
  const last = new Map<string, number>();
  for (const { vmId, incarnation, notice } of run.notices) {
    if (notice.kind !== "in_force") continue;
    const process = `${vmId}/${incarnation}`;
    const { revision } = notice;
    expect(revision, process).to.be.greaterThan(last.get(process) ?? 0);
    last.set(process, revision);
  }
}

function checkReadyIsLatest(run: ScheduleRun): void {
  const revisions = new Map<VmId, number>();
  const history: { atMs: number; majorityRevision: number }[] = [];
  for (const { vmId, atMs, notice } of run.notices) {
    if (notice.kind === "in_force") {
      revisions.set(vmId, Math.max(revisions.get(vmId) ?? 0, notice.revision));
      const sorted = [...revisions.values()].sort((a, b) => b - a);
      const majorityRevision = sorted[Math.floor(NODES / 2)] ?? 0;
      history.push({ atMs, majorityRevision });
    }
    if (notice.kind !== "ready") continue;
    const before = history.filter((each) => each.atMs < atMs - 3_000);
    const needed = Math.max(0, ...before.map((each) => each.majorityRevision));
    expect(notice.revision, `${vmId} ready at ${atMs}`).to.be.at.least(needed);
  }
}

function checkResponses(
  run: ScheduleRun,
  chain: readonly RevisionRecord[],
): void {
  const stored = new Map<string, number>();
  for (const { changeId, revision } of chain) {
    expect(stored.has(changeId), `${changeId} twice`).to.equal(false);
    stored.set(changeId, revision);
  }
  const accepted = new Set<string>();
  for (const { notice } of run.notices) {
    if (notice.kind !== "change_accepted") continue;
    const { changeId, revision } = notice;
    expect(stored.get(changeId), `accepted ${changeId}`).to.equal(revision);
    accepted.add(changeId);
  }
  for (const { notice } of run.notices) {
    if (notice.kind !== "change_refused") continue;
    const changeId = run.changeIds.get(notice.requestId) ?? "";
    if (isSubmittedTwice(run, changeId)) continue;
    expect(stored.has(changeId), `refused ${changeId}`).to.equal(false);
  }
}

function isSubmittedTwice(run: ScheduleRun, changeId: string): boolean {
  const submissions = [...run.changeIds.values()];
  return submissions.filter((each) => each === changeId).length > 1;
}

function checkConvergence(
  run: ScheduleRun,
  chain: readonly RevisionRecord[],
): void {
  const value = chain.reduce(applyRecord, EMPTY_CONFIGURATION);
  for (const [vmId, { configuration }] of run.fleet.nodes) {
    expect(configuration.revision, vmId).to.equal(chain.length);
    expect(configuration.isReady, vmId).to.equal(true);
    expect(configuration.value, vmId).to.deep.equal(value);
  }
}

describe("configuration under faults", () => {
  it("holds its guarantees under random schedules", () => {
    fc.assert(
      fc.property(schedule, ({ seed, faults, steps }) => {
        const run = new ScheduleRun(seed, faults);
        run.apply(steps);
        const chain = run.readChain();
        checkRevisionsIncrease(run);
        checkReadyIsLatest(run);
        checkResponses(run, chain);
        checkConvergence(run, chain);
      }),
      { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );
  });
});

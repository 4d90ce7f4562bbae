/**
 * Measures the platform load of shared budgets when every node spends from the
 * budgets of many teams, starting with no budget drawn.
 */
import { BudgetPortions } from "@camphorlock/scheduler";
import type {
  Effect,
  PlatformRequest,
  PlatformToken,
} from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { ObjectStore } from "../platform/object_store.ts";

const STEP_MS = 250;
const MS_PER_SECOND = 1_000;
const CALL_MICROS = 1_000;

/** The size of the fleet, its load, and the length of the run. */
export interface BudgetBenchOptions {
  readonly nodes: number;
  readonly teams: number;
  /** Calls per second, summed over the fleet. */
  readonly callsPerSecond: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Measurements of one run. Rates are sums over the fleet. */
export interface BudgetBenchResult {
  readonly nodes: number;
  readonly teams: number;
  readonly peakWritesPerSecond: number;
  /** Mean over the last quarter of the run. */
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly conflicts: number;
  /** Share of the calls that waited for a draw from the store. */
  readonly waitingShare: number;
  /** The same share over the last quarter of the run. */
  readonly lateWaitingShare: number;
}

interface OpenRequest {
  readonly node: BudgetPortions;
  readonly token: PlatformToken;
  readonly request: PlatformRequest;
}

/** Simulates the fleet; a platform call takes one step of 250 ms. */
export function runBudgetBench(
  options: BudgetBenchOptions,
): BudgetBenchResult {
  const { nodes: count, teams, callsPerSecond, seconds, seed } = options;
  const random = xoroshiro128plus(seed);
  const store = new ObjectStore();
  const vmIds = Array.from({ length: count }, (_, index) => `vm-${index}`);
  const nodes = vmIds.map((vmId) => createNode(vmId, { vmIds, teams }));
  const steps = seconds * MS_PER_SECOND / STEP_MS;
  const callsPerStep = callsPerSecond * STEP_MS / MS_PER_SECOND;
  const lateFrom = Math.floor(steps * 3 / 4);
  const writes: number[] = [];
  const late = { reads: 0, calls: 0, waiting: 0 };
  let openRequests: OpenRequest[] = [];
  let calls = 0;
  let waiting = 0;
  for (let step = 0; step < steps; step += 1) {
    const nowMs = step * STEP_MS;
    const before = { ...store.counts };
    openRequests = openRequests.flatMap(({ node, token, request }) => {
      const response = store.handle(request, nowMs);
      const input = { kind: "platform", token, answer: response } as const;
      return listRequests(node, node.handle(input, nowMs).effects);
    });
    for (let call = 0; call < callsPerStep; call += 1) {
      const node = nodes[uniformInt(random, 0, count - 1)];
      const key = `team/team-${uniformInt(random, 0, teams - 1)}`;
      const result = node?.reserve(key, { micros: CALL_MICROS, nowMs });
      calls += 1;
      if (step >= lateFrom) late.calls += 1;
      if (result?.kind === "reserved") {
        node?.settle(key, {
          reservedMicros: result.reservedMicros,
          chargeMicros: CALL_MICROS / 2,
        });
        continue;
      }
      waiting += 1;
      if (step >= lateFrom) late.waiting += 1;
    }
    for (const node of nodes) {
      const { effects } = node.handle({ kind: "tick" }, nowMs);
      openRequests.push(...listRequests(node, effects));
    }
    writes.push(store.counts.writes - before.writes);
    if (step >= lateFrom) late.reads += store.counts.reads - before.reads;
  }
  const lateSeconds = (steps - lateFrom) * STEP_MS / MS_PER_SECOND;
  const lateWrites = writes.slice(lateFrom).reduce((sum, n) => sum + n, 0);
  return {
    nodes: count,
    teams,
    peakWritesPerSecond: Math.max(...sumPerSecond(writes)),
    writesPerSecond: lateWrites / lateSeconds,
    readsPerSecond: late.reads / lateSeconds,
    conflicts: store.counts.conflicts,
    waitingShare: waiting / calls,
    lateWaitingShare: late.waiting / late.calls,
  };
}

function createNode(
  vmId: string,
  fleet: { readonly vmIds: readonly string[]; readonly teams: number },
): BudgetPortions {
  const node = new BudgetPortions({ vmId, incarnation: 1 });
  const limits = new Map(
    Array.from({ length: fleet.teams }, (_, index) => {
      return [`team/team-${index}`, Number.MAX_SAFE_INTEGER] as const;
    }),
  );
  node.handle({ kind: "limits", limits }, 0);
  node.handle({ kind: "members", present: new Set(fleet.vmIds) }, 0);
  return node;
}

function listRequests(
  node: BudgetPortions,
  effects: readonly Effect[],
): readonly OpenRequest[] {
  return effects.flatMap((effect) => {
    if (effect.kind !== "call_platform") return [];
    const { token, request } = effect;
    return [{ node, token, request }];
  });
}

function sumPerSecond(perStep: readonly number[]): readonly number[] {
  const perSecond = MS_PER_SECOND / STEP_MS;
  const sums: number[] = [];
  perStep.forEach((value, index) => {
    const second = Math.floor(index / perSecond);
    sums[second] = (sums[second] ?? 0) + value;
  });
  return sums;
}

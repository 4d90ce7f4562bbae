/**
 * Measures the platform calls of shard assignment: when idle, after the failure
 * of a failure domain and after a platform outage.
 */
import type { AssignmentSettings } from "./settings.ts";
import { FakeCluster } from "./fake_cluster.ts";
import type { CallCounts } from "./fake_platform.ts";

/** The options of the benchmark. */
export interface AssignmentBenchOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings?: Partial<AssignmentSettings>;
  /** Reads the CPU time in milliseconds. */
  readonly readCpuMs: () => number;
}

/** Rates of platform calls over a period, summed over the fleet. */
export interface CallRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly watchesPerSecond: number;
  /** Calls of all kinds in the busiest second. */
  readonly peakPerSecond: number;
}

/** The measurements of the benchmark. */
export interface AssignmentBenchResult {
  readonly nodes: number;
  readonly waitingWatches: number;
  readonly startMs: number;
  readonly idle: CallRates;
  readonly idleCoreSharePerNode: number;
  readonly domainLoss: CallRates;
  /** Time from the failure until every shard has a live owner again. */
  readonly takeoverMs: number;
  readonly movesNeeded: number;
  readonly moves: number;
  readonly afterOutage: CallRates;
  readonly afterOutageMs: number;
  readonly messagesPerSecondPerNode: number;
}

const MS_PER_SECOND = 1_000;
const WARM_UP_MS = 40_000;
const IDLE_MS = 120_000;
const RECOVERY_MS = 60_000;
const OUTAGE_MS = 60_000;
const MAX_START_MS = 120_000;

/** Runs a cluster through start, idling, a domain failure and an outage. */
export function runAssignmentBench(
  options: AssignmentBenchOptions,
): AssignmentBenchResult {
  const { nodes, failureDomains, seed, settings, readCpuMs } = options;
  const shape = { nodes, failureDomains, seed };
  const cluster = new FakeCluster(
    settings === undefined ? shape : { ...shape, settings },
  );
  const hasOwners = (): boolean =>
    cluster.listStored().length > 0 && cluster.listOrphans().length === 0;
  const startMs = runUntilTrue(cluster, hasOwners);
  cluster.runUntil(cluster.nowMs + WARM_UP_MS);
  const cpuBeforeMs = readCpuMs();
  const messagesBefore = cluster.messages;
  const idle = measureRates(cluster, IDLE_MS);
  const cpuMs = readCpuMs() - cpuBeforeMs;
  const messages = cluster.messages - messagesBefore;
  const waitingWatches = cluster.platform.countWatches();
  const movesBefore = cluster.moves;
  stopDomain(cluster, failureDomains);
  const movesNeeded = cluster.listOrphans().length;
  const failedAtMs = cluster.nowMs;
  let ownedAtMs: number | undefined;
  const domainLoss = measureRates(cluster, RECOVERY_MS, () => {
    if (ownedAtMs === undefined && hasOwners()) ownedAtMs = cluster.nowMs;
  });
  const moves = cluster.moves - movesBefore;
  cluster.setPlatformDown(true);
  cluster.stopNode("vm-1");
  cluster.runUntil(cluster.nowMs + OUTAGE_MS);
  cluster.setPlatformDown(false);
  const outageEndMs = cluster.nowMs;
  let restoredAtMs: number | undefined;
  const afterOutage = measureRates(cluster, RECOVERY_MS, () => {
    if (restoredAtMs === undefined && hasOwners()) restoredAtMs = cluster.nowMs;
  });
  return {
    nodes,
    waitingWatches,
    startMs,
    idle,
    idleCoreSharePerNode: cpuMs / (nodes * IDLE_MS),
    domainLoss,
    takeoverMs: (ownedAtMs ?? Number.POSITIVE_INFINITY) - failedAtMs,
    movesNeeded,
    moves,
    afterOutage,
    afterOutageMs: (restoredAtMs ?? Number.POSITIVE_INFINITY) - outageEndMs,
    messagesPerSecondPerNode: messages * MS_PER_SECOND / (nodes * IDLE_MS),
  };
}

function measureRates(
  cluster: FakeCluster,
  durationMs: number,
  onStep: () => void = () => {},
): CallRates {
  const start = { ...cluster.platform.counts };
  const untilMs = cluster.nowMs + durationMs;
  let peakPerSecond = 0;
  while (cluster.nowMs < untilMs) {
    const before = sumCalls(cluster.platform.counts);
    for (let part = 0; part < 10; part += 1) {
      cluster.runUntil(cluster.nowMs + MS_PER_SECOND / 10);
      onStep();
    }
    const calls = sumCalls(cluster.platform.counts) - before;
    peakPerSecond = Math.max(peakPerSecond, calls);
  }
  const { counts } = cluster.platform;
  const seconds = durationMs / MS_PER_SECOND;
  const reads = counts.get + counts.list - start.get - start.list;
  return {
    readsPerSecond: reads / seconds,
    writesPerSecond: (counts.put - start.put) / seconds,
    watchesPerSecond: (counts.watch - start.watch) / seconds,
    peakPerSecond,
  };
}

function sumCalls(counts: CallCounts): number {
  return counts.get + counts.put + counts.list + counts.watch + counts.delete;
}

function stopDomain(cluster: FakeCluster, failureDomains: number): void {
  const failed = [...cluster.nodes.keys()].filter((vmId) =>
    Number(vmId.slice("vm-".length)) % failureDomains === 0
  );
  for (const vmId of failed) cluster.stopNode(vmId);
}

function runUntilTrue(cluster: FakeCluster, isTrue: () => boolean): number {
  const startedAtMs = cluster.nowMs;
  while (!isTrue() && cluster.nowMs - startedAtMs < MAX_START_MS) {
    cluster.runUntil(cluster.nowMs + MS_PER_SECOND / 10);
  }
  return cluster.nowMs - startedAtMs;
}

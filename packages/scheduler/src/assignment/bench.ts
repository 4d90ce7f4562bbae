/**
 * Measures the platform calls of shard assignment: idle, after the loss of a
 * failure domain and after an outage.
 */
import type { AssignmentSettings } from "./settings.ts";
import { FakeCluster } from "./fake_cluster.ts";
import type { CallCounts } from "./fake_platform.ts";

/** What to measure. */
export interface AssignmentBenchOptions {
  readonly nodes: number;
  readonly failureDomains: number;
  readonly seed: number;
  readonly settings?: Partial<AssignmentSettings>;
  /** Gives processor time in milliseconds. */
  readonly readCpuMs: () => number;
}

/** Platform calls in a stretch of time, over the whole fleet. */
export interface CallRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly watchesPerSecond: number;
  /** Calls of all kinds in the busiest second. */
  readonly peakPerSecond: number;
}

/** What was measured. */
export interface AssignmentBenchResult {
  readonly nodes: number;
  readonly waitingWatches: number;
  readonly startMs: number;
  readonly idle: CallRates;
  readonly idleCoreSharePerNode: number;
  readonly domainLoss: CallRates;
  /** Time from the loss until every shard has a living owner again. */
  readonly takeoverMs: number;
  readonly movesNeeded: number;
  readonly moves: number;
  readonly afterOutage: CallRates;
  readonly afterOutageMs: number;
  readonly messagesPerSecondPerNode: number;
}

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 40_000;
const IDLE_MS = 120_000;
const LOSS_MS = 60_000;
const OUTAGE_MS = 60_000;
const LONGEST_MS = 120_000;

/** Runs a cluster through its start, rest, a loss and an outage. */
export function runAssignmentBench(
  options: AssignmentBenchOptions,
): AssignmentBenchResult {
  const { nodes, failureDomains, seed, settings, readCpuMs } = options;
  const shape = { nodes, failureDomains, seed };
  const cluster = new FakeCluster(
    settings === undefined ? shape : { ...shape, settings },
  );
  const isOwned = (): boolean =>
    cluster.listStored().length > 0 && cluster.listOrphans().length === 0;
  const startMs = runUntilTrue(cluster, isOwned);
  cluster.runUntil(cluster.nowMs + SETTLE_MS);
  const cpuBeforeMs = readCpuMs();
  const messagesBefore = cluster.messages;
  const idle = measureRates(cluster, IDLE_MS);
  const cpuMs = readCpuMs() - cpuBeforeMs;
  const messages = cluster.messages - messagesBefore;
  const waitingWatches = cluster.platform.countWatches();
  const movesBefore = cluster.moves;
  stopDomain(cluster, failureDomains);
  const movesNeeded = cluster.listOrphans().length;
  const lostAtMs = cluster.nowMs;
  let ownedAtMs: number | undefined;
  const domainLoss = measureRates(cluster, LOSS_MS, () => {
    if (ownedAtMs === undefined && isOwned()) ownedAtMs = cluster.nowMs;
  });
  const moves = cluster.moves - movesBefore;
  cluster.setPlatformDown(true);
  cluster.stopNode("vm-1");
  cluster.runUntil(cluster.nowMs + OUTAGE_MS);
  cluster.setPlatformDown(false);
  const upAtMs = cluster.nowMs;
  let healedAtMs: number | undefined;
  const afterOutage = measureRates(cluster, LOSS_MS, () => {
    if (healedAtMs === undefined && isOwned()) healedAtMs = cluster.nowMs;
  });
  return {
    nodes,
    waitingWatches,
    startMs,
    idle,
    idleCoreSharePerNode: cpuMs / (nodes * IDLE_MS),
    domainLoss,
    takeoverMs: (ownedAtMs ?? Number.POSITIVE_INFINITY) - lostAtMs,
    movesNeeded,
    moves,
    afterOutage,
    afterOutageMs: (healedAtMs ?? Number.POSITIVE_INFINITY) - upAtMs,
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
  const lost = [...cluster.nodes.keys()].filter((vmId) =>
    Number(vmId.slice("vm-".length)) % failureDomains === 0
  );
  for (const vmId of lost) cluster.stopNode(vmId);
}

function runUntilTrue(cluster: FakeCluster, isTrue: () => boolean): number {
  const startedAtMs = cluster.nowMs;
  while (!isTrue() && cluster.nowMs - startedAtMs < LONGEST_MS) {
    cluster.runUntil(cluster.nowMs + MS_PER_SECOND / 10);
  }
  return cluster.nowMs - startedAtMs;
}

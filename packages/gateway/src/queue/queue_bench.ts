/**
 * Measures what one step of a queue costs, by the number of waiting requests
 * and of tenants, and prints it:
 *
 *     node --import tsx packages/gateway/src/queue/queue_bench.ts
 *
 * A step adds a request, lets the first in order go and is followed by another
 * one that finds no place, so that the number of waiting requests stays.
 */
import { RandomSource } from "@camphorlock/scheduler/random";
import { TrackedTarget } from "../decisions/target_table.ts";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { QueuedRequest, TargetSearch } from "./queued_request.ts";
import { ServiceQueue } from "./service_queue.ts";

const STEPS = 20_000;
const ROUNDS = 9;
const STEP_MS = 0.01;
const FAR_MS = 1e9;
const SIZES = [
  { waiting: 10, tenants: 1 },
  { waiting: 10, tenants: 10_000 },
  { waiting: 10_000, tenants: 1 },
  { waiting: 10_000, tenants: 10_000 },
] as const;

function buildChoice(): PlacementChoice {
  const entry = new TrackedTarget({
    id: "t",
    service: "s",
    host: "127.0.0.1",
    port: 1,
    failureDomain: "a",
    state: "ready",
    version: undefined,
    slots: 8,
    startedAtMs: 1,
  });
  const estimate = { waitMs: 0, readMs: 5, runMs: 5, networkMs: 0, tokens: 0 };
  return { entry, estimate: { ...estimate, totalMs: 10 } };
}

/** Reads the process's CPU time, which other processes disturb little. */
function readCpuUs(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Measures the mean time of a step, in microseconds. */
function measureStep(
  { waiting, tenants }: { readonly waiting: number; readonly tenants: number },
): number {
  const random = new RandomSource(3);
  const queue = new ServiceQueue<QueuedRequest>(random, {
    maxWaiting: waiting + 1,
  });
  const choice = buildChoice();
  let search: TargetSearch;
  let sequence = 0;
  const buildRequest = (nowMs: number): QueuedRequest => ({
    sequence: sequence += 1,
    tenant: `t${random.takeIndex(tenants)}`,
    rank: random.takeIndex(3),
    classes: 3,
    hasBegun: random.takeFloat() < 0.5,
    isLong: false,
    workMs: random.takeBetween(1, 50),
    dueAtMs: nowMs + random.takeBetween(100, 5_000),
    lateAtMs: nowMs + FAR_MS,
    targetLatencyMs: 100,
    isOrdered: true,
    deadlineAtMs: nowMs + FAR_MS,
    latestStartMs: nowMs + FAR_MS,
    canBeRefused: () => true,
    isConstrained: () => false,
    findTarget: () => search,
  });
  for (let count = 0; count < waiting; count += 1) {
    queue.add(buildRequest(0), undefined, 0);
  }
  const startedUs = readCpuUs();
  for (let step = 1; step <= STEPS; step += 1) {
    const nowMs = step * STEP_MS;
    queue.add(buildRequest(nowMs), undefined, nowMs);
    search = choice;
    queue.runStep(nowMs);
    search = undefined;
    queue.runStep(nowMs);
  }
  return (readCpuUs() - startedUs) / STEPS;
}

function runBench(): void {
  const measured = SIZES.map((size) => {
    const rounds = Array.from({ length: ROUNDS }, () => measureStep(size));
    // The least of some rounds: other processes only add to it.
    return { ...size, stepUs: Math.min(...rounds) };
  });
  const least = Math.min(...measured.map(({ stepUs }) => stepUs));
  for (const { waiting, tenants, stepUs } of measured) {
    const ratio = (stepUs / least).toFixed(2);
    console.log(
      `${waiting} waiting, ${tenants} tenants: ${
        stepUs.toFixed(1)
      } us a step,` +
        ` ${ratio} of the smallest`,
    );
  }
}

runBench();

/**
 * Runs programs under a random schedule of faults.
 */
import { buildSchedule, type FaultEvent } from "./fault_schedule.ts";
import { RandomSource } from "./random_source.ts";
import type { RunHistory } from "./run_history.ts";
import {
  type FleetShape,
  listTargets,
  runPlan,
  type Workload,
} from "./run_plan.ts";

const SHAPE: FleetShape = {
  nodeCount: 5,
  engineCount: 3,
  serviceCount: 2,
  shardCount: 6,
};
const WORKLOAD: Workload = {
  lines: 5,
  programs: 3,
  calls: 4,
  orderPercent: 40,
};
const FAULT_PHASE_MS = 40_000;

/** The history of a run and the faults that were injected. */
export interface ScheduleRun {
  readonly history: RunHistory;
  readonly events: readonly FaultEvent[];
}

/**
 * Runs one seed. The same seed always produces the same run.
 *
 * If `kinds` is given, budgets are ample, so that a call that doesn't complete
 * was interrupted by a fault.
 */
export function runSchedule(
  seed: number,
  kinds?: readonly FaultEvent["kind"][],
): ScheduleRun {
  const vmIds = Array.from({ length: SHAPE.nodeCount }, (_, index) => {
    return `vm-${index + 1}`;
  });
  const events = buildSchedule(new RandomSource(seed), {
    vmIds,
    targetIds: listTargets(SHAPE),
    lengthMs: FAULT_PHASE_MS,
    ...(kinds === undefined ? {} : { kinds }),
  });
  const load = { ...WORKLOAD, hasAmpleBudget: kinds !== undefined };
  const history = runPlan({ seed, shape: SHAPE, load, events });
  return { history, events };
}

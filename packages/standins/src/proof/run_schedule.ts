/**
 * Runs programs under a random schedule of faults.
 */
import { buildSchedule, type PlannedEvent } from "./fault_schedule.ts";
import { RandomSource } from "./random_source.ts";
import type { RunHistory } from "./run_history.ts";
import {
  type FleetShape,
  listTargets,
  type PlannedLoad,
  runPlan,
} from "./run_plan.ts";

const SHAPE: FleetShape = {
  nodeCount: 5,
  engineCount: 3,
  serviceCount: 2,
  shardCount: 6,
};
const LOAD: PlannedLoad = {
  lines: 5,
  programs: 3,
  calls: 4,
  orderPercent: 40,
};
const FAULTS_MS = 40_000;

/** A run and the faults that it met. */
export interface ScheduleRun {
  readonly history: RunHistory;
  readonly events: readonly PlannedEvent[];
}

/**
 * Runs one seed. The same seed always gives the same run.
 *
 * With only some kinds of fault the budgets are ample, so that a call that
 * doesn't complete was cut off.
 */
export function runSchedule(
  seed: number,
  kinds?: readonly PlannedEvent["kind"][],
): ScheduleRun {
  const vmIds = Array.from({ length: SHAPE.nodeCount }, (_, at) => {
    return `vm-${at + 1}`;
  });
  const events = buildSchedule(new RandomSource(seed), {
    vmIds,
    targetIds: listTargets(SHAPE),
    lengthMs: FAULTS_MS,
    ...(kinds === undefined ? {} : { kinds }),
  });
  const load = { ...LOAD, hasAmpleBudget: kinds !== undefined };
  const history = runPlan({ seed, shape: SHAPE, load, events });
  return { history, events };
}

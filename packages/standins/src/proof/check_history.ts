/**
 * The history checker: one check for each guarantee of the system.
 */
import {
  checkAtMostOnce,
  checkCallersSettled,
  checkCallsInOrder,
  checkNotRunOutcomes,
  checkResponsesComplete,
  checkSingleOutcome,
} from "./check_calls.ts";
import {
  checkDrainingTargetIdle,
  checkGracefulShutdown,
  checkRevisionsIncrease,
} from "./check_fleet.ts";
import {
  checkBudgetKept,
  checkHistoryKept,
  checkMemoryReleased,
} from "./check_programs.ts";
import type { RunHistory, Violation } from "./run_history.ts";

const CHECKS: readonly ((history: RunHistory) => Violation[])[] = [
  checkCallsInOrder,
  checkHistoryKept,
  checkSingleOutcome,
  checkBudgetKept,
  checkMemoryReleased,
  checkResponsesComplete,
  checkNotRunOutcomes,
  checkAtMostOnce,
  checkDrainingTargetIdle,
  checkGracefulShutdown,
  checkRevisionsIncrease,
  checkCallersSettled,
];

/** Checks a run and lists every guarantee that it violates. */
export function checkHistory(history: RunHistory): Violation[] {
  return CHECKS.flatMap((check) => check(history));
}

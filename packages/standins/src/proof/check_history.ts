/**
 * The history checker: every check, one a promise.
 */
import {
  checkAnswersWhole,
  checkAtMostOnce,
  checkCallersSettled,
  checkCallsInOrder,
  checkNotRunHonest,
  checkOneOutcome,
} from "./check_calls.ts";
import {
  checkConfigurationForward,
  checkLeavingTargetIdle,
  checkPlannedStopGraceful,
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
  checkOneOutcome,
  checkBudgetKept,
  checkMemoryReleased,
  checkAnswersWhole,
  checkNotRunHonest,
  checkAtMostOnce,
  checkLeavingTargetIdle,
  checkPlannedStopGraceful,
  checkConfigurationForward,
  checkCallersSettled,
];

/** Checks a run and lists every promise that was broken. */
export function checkHistory(history: RunHistory): Violation[] {
  return CHECKS.flatMap((check) => check(history));
}

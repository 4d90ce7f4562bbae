/**
 * Limits of single programs, against infinite loops and hung tools.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Micros } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { ProgramLimits, ToolTimeouts } from "./settings.ts";

/** The turns, cost and time that a program has used so far. */
export interface ProgramProgress {
  readonly turns: number;
  readonly costMicros: Micros;
  readonly ageMs: number;
}

/**
 * Checks whether a program may make another call.
 *
 * Fails with `TurnLimitReached`, `BudgetExhausted` or `DeadlinePassed`.
 */
export function checkProgramLimits(
  progress: ProgramProgress,
  limits: ProgramLimits,
): Result<void, Failure> {
  if (progress.turns >= limits.mostTurns) {
    return err(
      createFailure(
        "TurnLimitReached",
        `${progress.turns} of ${limits.mostTurns} turns used`,
      ),
    );
  }
  if (progress.costMicros >= limits.mostCostMicros) {
    return err(
      createFailure(
        "BudgetExhausted",
        `${progress.costMicros} of ${limits.mostCostMicros} micros spent`,
      ),
    );
  }
  if (progress.ageMs >= limits.mostAgeMs) {
    return err(
      createFailure(
        "DeadlinePassed",
        `program age ${progress.ageMs} ms, limit ${limits.mostAgeMs} ms`,
      ),
    );
  }
  return ok(undefined);
}

/** Computes the time after which a tool call counts as hung. */
export function computeToolTimeoutMs(
  usualDurationMs: number | undefined,
  timeouts: ToolTimeouts,
): number {
  if (usualDurationMs === undefined) return timeouts.mostMs;
  const timeoutMs = usualDurationMs * timeouts.usualTimes;
  return Math.min(timeouts.mostMs, Math.max(timeouts.leastMs, timeoutMs));
}

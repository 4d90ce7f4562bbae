/**
 * Limits of single programs: loops without end, and tools that hang.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Micros } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { ProgramLimits, ToolTimeouts } from "./settings.ts";

/** What a program has used so far. */
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
    return err(createFailure("TurnLimitReached", `${progress.turns} calls`));
  }
  if (progress.costMicros >= limits.mostCostMicros) {
    return err(
      createFailure("BudgetExhausted", `${progress.costMicros} micros`),
    );
  }
  if (progress.ageMs >= limits.mostAgeMs) {
    return err(createFailure("DeadlinePassed", `${progress.ageMs} ms old`));
  }
  return ok(undefined);
}

/** Computes after how long a tool call counts as hung. */
export function computeToolTimeoutMs(
  usualMs: number | undefined,
  timeouts: ToolTimeouts,
): number {
  if (usualMs === undefined) return timeouts.mostMs;
  const timeoutMs = usualMs * timeouts.usualTimes;
  return Math.min(timeouts.mostMs, Math.max(timeouts.leastMs, timeoutMs));
}

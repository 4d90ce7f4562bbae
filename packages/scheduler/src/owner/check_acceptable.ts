/**
 * Checks whether a program may make another call.
 */
import type { ResultCodeName } from "@camphorlock/codes";
import type { Micros } from "@camphorlock/types";
import type { OwnerContext } from "./owner_context.ts";
import { computeRest, type ProgramState } from "./program_state.ts";

/** Checks a call before acceptance; returns the code of a refusal, if any. */
export function checkAcceptable(
  context: OwnerContext,
  program: ProgramState,
  reservedMicros: Micros,
): ResultCodeName | undefined {
  const { limits, ledger, getWallClockMs } = context.options;
  const { deadlineAtMs } = program.spec;
  if (program.endReason !== undefined) return "ProgramEnded";
  if (program.callsById.size >= limits.maxCallsOfProgram) {
    return "TurnLimitReached";
  }
  if (deadlineAtMs !== undefined && getWallClockMs() > deadlineAtMs) {
    return "DeadlinePassed";
  }
  if (computeRest(program) < reservedMicros) return "BudgetExhausted";
  if (ledger.usage > limits.maxLedgerUsage) return "LedgerFull";
  return undefined;
}

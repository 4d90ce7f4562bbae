/**
 * Handles outcomes that the ledger refused.
 */
import { type Failure, RESULT_CODES } from "@camphorlock/codes";
import type { CallOutcome } from "@camphorlock/types";

/** Returns the outcome to append later; a text too large becomes a failure. */
export function buildPendingOutcome(
  outcome: CallOutcome,
  failure: Failure,
): CallOutcome {
  const isTooLarge = failure.code === RESULT_CODES.EntryTooLarge.code;
  if (outcome.status !== "completed" || !isTooLarge) return outcome;
  const { chargeMicros, agreementRevision } = outcome;
  const { code, detail } = failure;
  return { status: "failed", code, detail, chargeMicros, agreementRevision };
}

/**
 * What becomes of an outcome that the ledger refused.
 */
import { type Failure, RESULT_CODES } from "@camphorlock/codes";
import type { CallOutcome } from "@camphorlock/types";

/** Keeps the outcome until there's space; a text too large fails. */
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

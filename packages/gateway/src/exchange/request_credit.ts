/**
 * The credit of a request whose tenant has a quota, from its admission until the
 * request is sent to a target.
 */
import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import type { RequestOutcome } from "./request_end.ts";

/** Why a request of a tenant isn't admitted. */
export interface QuotaRefusal {
  readonly code: "QuotaExceeded" | "QuotaUnavailable";
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** One credit. */
export interface RequestCredit {
  /**
   * Makes sure that the request may be sent now: a credit that was granted too
   * long ago is replaced, since credits that are used late add up with later
   * ones in one window. Returns the refusal if there is none.
   */
  confirm(): Promise<QuotaRefusal | undefined>;
  /** Records that the request is sent; further attempts need no credit. */
  recordSent(): void;
  /** Gives the credit back, unless the request was sent. */
  release(): void;
}

/** Confirms a request's credit before it's sent; the outcome if it may not. */
export async function confirmCredit(
  { credit }: { readonly credit?: RequestCredit },
): Promise<RequestOutcome | undefined> {
  const refusal = await credit?.confirm();
  return refusal &&
    { kind: "refused", ...refusal, code: RESULT_CODES[refusal.code] };
}

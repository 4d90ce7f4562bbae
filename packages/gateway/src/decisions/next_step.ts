/**
 * Decides the next step after an attempt without a complete response.
 *
 * Targets may crash, reset connections or send invalid responses while many
 * requests run. A request that must not be repeated is retried only if the
 * failed attempt certainly did not run. The other requests are retried. A
 * route limits the number of targets that may run one request: once that many
 * live targets may have run it, only these are used again.
 */
import { checkNever } from "@camphorlock/types";

/** How an attempt ended without a complete response. */
export type FailedAttempt =
  /** The target states that it didn't run the request. */
  | { readonly kind: "not_run"; readonly detail: string }
  /** No byte of the request was written. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The request may have run; its response is incomplete. */
  | { readonly kind: "broken"; readonly detail: string }
  /** The same, and the target's process has ended. */
  | { readonly kind: "crashed"; readonly detail: string };

/** The history of a request when an attempt has failed. */
export interface AttemptHistory {
  readonly isRepeatable: boolean;
  readonly maxTargets: number;
  /** Number of attempts so far. */
  readonly sends: number;
  /** Number of targets that may have run the request and still accept work. */
  readonly liveRunners: number;
  /** Number of targets that have ended while they ran the request. */
  readonly crashes: number;
  /** Whether any attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Time left until the request's final response is due. */
  readonly leftMs: number;
}

/** The next step of the request. */
export type NextStep =
  | { readonly kind: "send"; readonly to: "any" | "runners" }
  /** Responds that the request has not run and won't. */
  | { readonly kind: "refuse" }
  /** Responds that the request may have run. */
  | { readonly kind: "fail" };

/** Maximum attempts of one request; more hardly help a caller in time. */
const MAX_ATTEMPTS = 12;
/**
 * Targets that may end under one request. Whether it's the cause is known soon
 * after, and a caller that tries again finds out.
 */
const MAX_CRASHES = 2;
/** Shortest time in which a target can respond. */
const MIN_REMAINING_MS = 20;

/** Decides the next step after a failed attempt. */
export function planNextStep(
  failed: FailedAttempt,
  history: AttemptHistory,
): NextStep {
  const { isRepeatable, mayHaveRun } = history;
  const isExhausted = history.leftMs < MIN_REMAINING_MS ||
    history.sends >= MAX_ATTEMPTS || history.crashes >= MAX_CRASHES;
  switch (failed.kind) {
    case "not_run":
    case "unreachable":
      if (isExhausted) return { kind: mayHaveRun ? "fail" : "refuse" };
      return planAttempt(history);
    case "broken":
    case "crashed":
      if (isExhausted || !isRepeatable) return { kind: "fail" };
      return planAttempt(history);
    default:
      return checkNever(failed);
  }
}

/** A complete response, and what may be done about doubts of it. */
export interface ReceivedResponse {
  readonly isRepeatable: boolean;
  /** Whether the end of the body is marked in the response itself. */
  readonly isDelimited: boolean;
  /** Number of attempts so far. */
  readonly sends: number;
}

/**
 * Whether a response without a marked end is confirmed by another attempt: a
 * target that fails may have cut it, but a service may also respond like that
 * always, so only one more attempt is made.
 */
export function needsConfirmation(
  { isRepeatable, isDelimited, sends }: ReceivedResponse,
): boolean {
  return isRepeatable && !isDelimited && sends < 2;
}

function planAttempt(history: AttemptHistory): NextStep {
  const isAtTargetLimit = history.liveRunners >= history.maxTargets;
  return { kind: "send", to: isAtTargetLimit ? "runners" : "any" };
}

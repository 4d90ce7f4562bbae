/**
 * Whether a call whose attempt failed is tried again.
 *
 * A call runs again only when it's certain that the attempt didn't run, or when
 * the call is idempotent. Anything else leaves its outcome unknown.
 */
import { checkNever } from "@camphorlock/types";
import type { RandomSource } from "../random/mod.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetrySettings } from "./settings.ts";

/** How an attempt ended without an answer. */
export type AttemptResult =
  | {
    /** No slot was granted. Asking again costs the target nothing. */
    readonly kind: "slot_refused";
    readonly retryAfterMs: number;
  }
  | { readonly kind: "not_sent" }
  | { readonly kind: "rejected"; readonly notRun: boolean }
  | { readonly kind: "broken" }
  | { readonly kind: "stalled" };

/** The call that the attempt was for. */
export interface RetryCall {
  readonly idempotent: boolean;
  /** Attempts made, the failed one included. */
  readonly attempts: number;
  /** Time left until the call's deadline. */
  readonly leftMs: number;
}

/** What to do after a failed attempt. */
export type RetryChoice =
  | {
    readonly kind: "retry";
    readonly afterMs: number;
    /** Whether the same target should be tried last. */
    readonly elsewhere: boolean;
  }
  | {
    readonly kind: "give_up";
    /** `not_run` where no attempt can have run. */
    readonly outcome: "not_run" | "failed" | "unknown";
    readonly reason:
      | "not_idempotent"
      | "rejected"
      | "attempts_used"
      | "budget_used"
      | "deadline";
    readonly retryAfterMs: number;
  };

/** What the choice draws on. */
export interface RetryMeans {
  readonly settings: RetrySettings;
  readonly budget: RetryBudget;
  readonly random: RandomSource;
}

/** Chooses between another attempt and giving up. */
export function chooseRetry(
  result: AttemptResult,
  call: RetryCall,
  means: RetryMeans,
): RetryChoice {
  const outcome = findOutcome(result, call);
  const backoffMs = computeBackoffMs(call.attempts, means);
  const giveUp = (
    reason: Extract<RetryChoice, { kind: "give_up" }>["reason"],
  ): RetryChoice => ({
    kind: "give_up",
    outcome,
    reason,
    retryAfterMs: Math.max(backoffMs, findRetryAfter(result)),
  });
  if (outcome === "unknown") return giveUp("not_idempotent");
  if (result.kind === "rejected" && !result.notRun) return giveUp("rejected");
  if (call.attempts >= means.settings.mostAttempts) {
    return giveUp("attempts_used");
  }
  const afterMs = Math.max(backoffMs, findRetryAfter(result));
  if (afterMs >= call.leftMs) return giveUp("deadline");
  if (!means.budget.takeRetry()) return giveUp("budget_used");
  return { kind: "retry", afterMs, elsewhere: true };
}

/** Computes a wait that doubles with each attempt, with full jitter. */
export function computeBackoffMs(attempts: number, means: RetryMeans): number {
  const { firstBackoffMs, mostBackoffMs } = means.settings;
  const doubled = firstBackoffMs * 2 ** Math.max(0, attempts - 1);
  const most = Math.min(mostBackoffMs, doubled);
  return Math.round(means.random.takeBetween(most / 2, most));
}

function findOutcome(
  result: AttemptResult,
  call: RetryCall,
): "not_run" | "failed" | "unknown" {
  switch (result.kind) {
    case "slot_refused":
    case "not_sent":
      return "not_run";
    case "rejected":
      return result.notRun ? "not_run" : "failed";
    case "broken":
    case "stalled":
      return call.idempotent ? "failed" : "unknown";
    default:
      return checkNever(result);
  }
}

function findRetryAfter(result: AttemptResult): number {
  return result.kind === "slot_refused" ? result.retryAfterMs : 0;
}

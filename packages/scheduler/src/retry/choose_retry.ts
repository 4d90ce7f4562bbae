/**
 * Decides whether a call is retried after a failed attempt.
 *
 * A call is retried only if its attempt certainly didn't run, or if the call is
 * idempotent. Otherwise the outcome of the call is unknown.
 */
import { checkNever } from "@camphorlock/types";
import type { RandomSource } from "../random/mod.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { RetrySettings } from "./settings.ts";

/** How an attempt ended without a complete response. */
export type AttemptFailure =
  | {
    /** No slot was granted. Another request costs the target nothing. */
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
  /** Number of attempts so far, including the failed one. */
  readonly attempts: number;
  /** Time left until the call's deadline. */
  readonly leftMs: number;
}

/** The action after a failed attempt. */
export type RetryChoice =
  | {
    readonly kind: "retry";
    readonly afterMs: number;
    /** Whether the next attempt should prefer other targets. */
    readonly elsewhere: boolean;
  }
  | {
    readonly kind: "give_up";
    /** `not_run` only if the failed attempt can't have run. */
    readonly outcome: "not_run" | "failed" | "unknown";
    readonly reason:
      | "not_idempotent"
      | "rejected"
      | "attempts_used"
      | "budget_used"
      | "deadline";
    readonly retryAfterMs: number;
  };

/** The settings and state that retry decisions use. */
export interface RetryContext {
  readonly settings: RetrySettings;
  readonly budget: RetryBudget;
  readonly random: RandomSource;
}

/** Chooses whether a call gets another attempt after a failed one. */
export function chooseRetry(
  result: AttemptFailure,
  call: RetryCall,
  context: RetryContext,
): RetryChoice {
  const outcome = findOutcome(result, call);
  const backoffMs = computeBackoffMs(call.attempts, context);
  const giveUp = (
    reason: Extract<RetryChoice, { kind: "give_up" }>["reason"],
  ): RetryChoice => ({
    kind: "give_up",
    outcome,
    reason,
    retryAfterMs: Math.max(backoffMs, getRetryAfterMs(result)),
  });
  if (outcome === "unknown") return giveUp("not_idempotent");
  if (result.kind === "rejected" && !result.notRun) return giveUp("rejected");
  if (call.attempts >= context.settings.mostAttempts) {
    return giveUp("attempts_used");
  }
  const afterMs = Math.max(backoffMs, getRetryAfterMs(result));
  if (afterMs >= call.leftMs) return giveUp("deadline");
  if (!context.budget.takeRetry()) return giveUp("budget_used");
  return { kind: "retry", afterMs, elsewhere: true };
}

/** Computes a back-off that doubles with each attempt, with jitter down to half. */
export function computeBackoffMs(
  attempts: number,
  context: RetryContext,
): number {
  const { firstBackoffMs, mostBackoffMs } = context.settings;
  const doubledMs = firstBackoffMs * 2 ** Math.max(0, attempts - 1);
  const maxMs = Math.min(mostBackoffMs, doubledMs);
  return Math.round(context.random.takeBetween(maxMs / 2, maxMs));
}

function findOutcome(
  result: AttemptFailure,
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

function getRetryAfterMs(result: AttemptFailure): number {
  return result.kind === "slot_refused" ? result.retryAfterMs : 0;
}

/**
 * Limits the rate at which a node starts draws on shared budgets.
 *
 * Nodes don't observe each other's draws. A conflict, or a refusal by the
 * platform's rate limit, shows that too many nodes draw at once, for instance
 * after all nodes start together. The rate falls by a factor at each conflict
 * or failed request, and rises by a step with each success.
 */
import { checkNever, type PlatformResponse } from "@camphorlock/types";

const INITIAL_PER_SECOND = 2;
const MIN_PER_SECOND = 0.2;
const MAX_PER_SECOND = 20;
const CONFLICT_FACTOR = 0.7;
const FAILURE_FACTOR = 0.5;
const SUCCESS_STEP = 0.2;
const MS_PER_SECOND = 1_000;

/** The rate limiter of one node, a token bucket with an adaptive rate. */
export class DrawRateLimiter {
  #perSecond = INITIAL_PER_SECOND;
  #tokens = INITIAL_PER_SECOND;
  #refilledAtMs = 0;

  /** Acquires the right to start one draw; `false` at the limit. */
  acquire(nowMs: number): boolean {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    this.#refilledAtMs = nowMs;
    const refilled = elapsedMs * this.#perSecond / MS_PER_SECOND;
    const capacity = Math.max(1, this.#perSecond);
    this.#tokens = Math.min(capacity, this.#tokens + refilled);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Adapts the rate to a response of the platform. */
  record(response: PlatformResponse): void {
    switch (response.kind) {
      case "stored":
        this.#setRate(this.#perSecond + SUCCESS_STEP);
        return;
      case "conflict":
        this.#setRate(this.#perSecond * CONFLICT_FACTOR);
        return;
      case "failed":
        this.#setRate(this.#perSecond * FAILURE_FACTOR);
        return;
      case "found":
      case "absent":
      case "deleted":
      case "listed":
      case "changed":
        return;
      default:
        checkNever(response);
    }
  }

  #setRate(perSecond: number): void {
    const capped = Math.min(perSecond, MAX_PER_SECOND);
    this.#perSecond = Math.max(capped, MIN_PER_SECOND);
  }
}

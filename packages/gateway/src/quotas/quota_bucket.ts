/**
 * The token bucket of one tenant, at the gateway that decides on its quota.
 */
import type { CreditDecision } from "../peers/peer_messages.ts";
import type { QuotaTerms } from "./quota_terms.ts";

const MS_PER_SECOND = 1_000;
/** Later retries aren't told; the demand may have gone by then. */
const MAX_RETRY_MS = 2_000;
const MIN_RETRY_MS = 1;
/** Hides rounding errors of refills. */
const EPSILON = 1e-6;

/** How far a gateway may decide at present. */
export interface HomeStanding {
  /** Part of the quota that this gateway may grant. */
  readonly share: number;
  /** When the gateway became the home, or last began anew. */
  readonly sinceMs: number;
  /**
   * Time until no other gateway can still be granting for the tenant; 0 when
   * the home is sure of that.
   */
  readonly settlesInMs: number;
  /** Time since the home has settled. */
  readonly settledForMs: number;
}

/** The credits of one tenant. */
export class QuotaBucket {
  #terms: QuotaTerms;
  #tokens: number;
  #refilledAtMs: number;
  /** Credits that may still be granted before the home has settled. */
  #startLeft = 0;
  #resetAtMs = Number.NEGATIVE_INFINITY;
  /** Until when the credits to come are promised to gateways that asked. */
  #promisedUntilMs = 0;

  /** Starts full, or with `tokens`. */
  constructor(terms: QuotaTerms, nowMs: number, tokens = terms.burst) {
    this.#terms = terms;
    this.#tokens = Math.min(tokens, terms.burst);
    this.#refilledAtMs = nowMs;
  }

  /** Applies other terms; a lower burst takes effect at once. */
  setTerms(terms: QuotaTerms, nowMs: number, share = 1): void {
    this.#updateTokens(nowMs, share);
    this.#terms = terms;
    this.#updateTokens(nowMs, share);
  }

  /** Begins anew after another gateway may have granted. */
  reset({ settledForMs, share }: HomeStanding, nowMs: number): void {
    this.#updateTokens(nowMs, share);
    const { startCredits, ratePerS, windowMs } = this.#terms;
    // A home that is lost and regained again and again starts once a window.
    const elapsed = Math.min(1, (nowMs - this.#resetAtMs) / windowMs);
    this.#startLeft = Math.min(
      startCredits,
      this.#startLeft + startCredits * elapsed,
    );
    this.#resetAtMs = nowMs;
    // What came in before, another gateway may have granted.
    const refill = ratePerS * share * settledForMs / MS_PER_SECOND;
    this.#tokens = Math.min(this.#tokens, this.#startLeft + refill);
  }

  /** Whether the bucket has nothing that a new, full one doesn't have. */
  isFull(nowMs: number): boolean {
    this.#updateTokens(nowMs, 1);
    return this.#tokens >= this.#terms.burst;
  }

  /** Grants up to `wanted` credits. */
  take(wanted: number, standing: HomeStanding, nowMs: number): CreditDecision {
    const { share, settlesInMs } = standing;
    this.#updateTokens(nowMs, share);
    const isSettled = settlesInMs <= 0;
    const startLeft = Math.floor(this.#startLeft * share + EPSILON);
    const held = Math.floor(this.#tokens + EPSILON);
    const credits = Math.max(
      0,
      Math.min(wanted, held, isSettled ? held : startLeft),
    );
    this.#tokens -= credits;
    if (!isSettled) this.#startLeft -= credits / share;
    if (credits === wanted) return { kind: "granted", credits, retryMs: 0 };
    if (!isSettled && startLeft < held && credits === 0) {
      return { kind: "unsettled", retryMs: Math.ceil(settlesInMs) };
    }
    const retryMs = this.#computeRetryMs(wanted - credits, share, nowMs);
    return { kind: "granted", credits, retryMs };
  }

  /** Promises the credits that come next, in the order of the calls. */
  #computeRetryMs(missing: number, share: number, nowMs: number): number {
    const perMs = this.#terms.ratePerS * share / MS_PER_SECOND;
    if (perMs <= 0) return MAX_RETRY_MS;
    const nextAtMs = nowMs + Math.max(0, 1 - this.#tokens) / perMs;
    const fromMs = Math.max(nextAtMs, this.#promisedUntilMs);
    this.#promisedUntilMs = Math.min(
      nowMs + MAX_RETRY_MS,
      fromMs + missing / perMs,
    );
    const retryMs = Math.ceil(fromMs - nowMs);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryMs));
  }

  #updateTokens(nowMs: number, share: number): void {
    const elapsedS = Math.max(0, nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    const { ratePerS, burst } = this.#terms;
    this.#tokens = Math.min(
      Math.max(1, burst * share),
      this.#tokens + elapsedS * ratePerS * share,
    );
    this.#refilledAtMs = nowMs;
  }
}

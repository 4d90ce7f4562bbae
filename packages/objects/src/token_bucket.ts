/**
 * A rate limit in calls per second that allows short bursts.
 */
const MS_PER_SECOND = 1_000;

/** Settings of a token bucket. */
export interface TokenBucketOptions {
  readonly perSecond: number;
  /** Number of calls that may be made at once after a pause. */
  readonly burst: number;
}

/** A token bucket. The caller passes the time of its clock. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #tokens: number;
  #refilledAtMs: number;

  constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAtMs = nowMs;
  }

  /** Takes one token if there is one. */
  take(nowMs: number): boolean {
    this.#addAccrued(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /**
   * Reserves one token and returns the milliseconds to wait before the call, or
   * `undefined` without a reservation if the wait exceeds `maxWaitMs`.
   */
  reserve(nowMs: number, maxWaitMs: number): number | undefined {
    this.#addAccrued(nowMs);
    const missing = Math.max(0, 1 - this.#tokens);
    const waitMs = (missing / this.#options.perSecond) * MS_PER_SECOND;
    if (waitMs > maxWaitMs) return undefined;
    this.#tokens -= 1;
    return waitMs;
  }

  #addAccrued(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    const accrued = (elapsedMs / MS_PER_SECOND) * this.#options.perSecond;
    this.#tokens = Math.min(this.#options.burst, this.#tokens + accrued);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}

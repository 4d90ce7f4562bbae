/**
 * A limit of calls per second that allows short bursts.
 */
const MS_PER_SECOND = 1_000;

/** Settings of a token bucket. */
export interface TokenBucketOptions {
  readonly perSecond: number;
  /** Calls that may be made at once after a pause. */
  readonly burst: number;
}

/** A token bucket on the caller's clock. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #tokens: number;
  #refilledAtMs: number;

  constructor(options: TokenBucketOptions, nowMs: number) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAtMs = nowMs;
  }

  /** Takes one call if there's one left. */
  take(nowMs: number): boolean {
    this.#addEarned(nowMs);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  /**
   * Takes one call that may be made only after the returned milliseconds, or
   * `undefined` when that's longer than `maxWaitMs`.
   */
  takeLater(nowMs: number, maxWaitMs: number): number | undefined {
    this.#addEarned(nowMs);
    const missing = Math.max(0, 1 - this.#tokens);
    const waitMs = (missing / this.#options.perSecond) * MS_PER_SECOND;
    if (waitMs > maxWaitMs) return undefined;
    this.#tokens -= 1;
    return waitMs;
  }

  #addEarned(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
    const earned = (elapsedMs / MS_PER_SECOND) * this.#options.perSecond;
    this.#tokens = Math.min(this.#options.burst, this.#tokens + earned);
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs);
  }
}

/**
 * Pauses that double while something fails, up to a bound.
 *
 * A share of each pause depends on a seed, so that many callers of a platform
 * that returns don't all come at once.
 */

/** The options of a backoff. */
export interface BackoffOptions {
  readonly firstPauseMs: number;
  readonly longestPauseMs: number;
  /** Tells callers apart, for instance a shard's number. */
  readonly seed: number;
}

const SPREAD = 0.5;
/** Primes that spread consecutive seeds and failures over the range. */
const SEED_FACTOR = 7_919;
const FAILURE_FACTOR = 104_729;
const RANGE = 1_000;

/** The pauses of one caller. */
export class Backoff {
  readonly #options: BackoffOptions;
  #pauseMs = 0;
  #untilMs = 0;
  #failures = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** Whether the last try failed. */
  get isFailing(): boolean {
    return this.#pauseMs > 0;
  }

  /** Whether the caller has to wait. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }

  /** Notes a failure: the next pause is twice as long. */
  recordFailure(nowMs: number): void {
    const { firstPauseMs, longestPauseMs } = this.#options;
    const doubled = Math.max(firstPauseMs, this.#pauseMs * 2);
    this.#pauseMs = Math.min(longestPauseMs, doubled);
    this.#failures += 1;
    this.startPause(nowMs);
  }

  /** Notes a success: the next failure begins with the first pause. */
  recordSuccess(): void {
    this.#pauseMs = 0;
    this.#untilMs = 0;
  }

  /** Starts a pause of the present length. */
  startPause(nowMs: number): void {
    this.#untilMs = nowMs + this.#pauseMs * (1 - SPREAD * this.#spread);
  }

  /** A number from 0 to 1 that differs between callers and failures. */
  get #spread(): number {
    const mixed = this.#options.seed * SEED_FACTOR +
      this.#failures * FAILURE_FACTOR;
    return mixed % RANGE / RANGE;
  }
}

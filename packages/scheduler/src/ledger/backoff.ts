/**
 * Exponential back-off with a maximum pause.
 *
 * A part of each pause is jitter derived from a seed, so that callers don't all
 * retry at once when the platform recovers.
 */

/** The options of a back-off. */
export interface BackoffOptions {
  readonly initialPauseMs: number;
  readonly maxPauseMs: number;
  /** Differs between callers; for instance, the shard's number. */
  readonly seed: number;
}

const JITTER_SHARE = 0.5;
/** Primes that spread consecutive seeds and failures over the range. */
const SEED_FACTOR = 7_919;
const FAILURE_FACTOR = 104_729;
const RANGE = 1_000;

/** The back-off state of one caller. */
export class Backoff {
  readonly #options: BackoffOptions;
  #pauseMs = 0;
  #untilMs = 0;
  #failures = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** Whether the last request failed. */
  get isFailing(): boolean {
    return this.#pauseMs > 0;
  }

  /** Whether the caller has to wait. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#untilMs;
  }

  /** Records a failure and starts a pause, twice as long as the last one. */
  recordFailure(nowMs: number): void {
    const { initialPauseMs, maxPauseMs } = this.#options;
    const doubled = Math.max(initialPauseMs, this.#pauseMs * 2);
    this.#pauseMs = Math.min(maxPauseMs, doubled);
    this.#failures += 1;
    this.startPause(nowMs);
  }

  /** Records a success; the next failure starts with the initial pause. */
  recordSuccess(): void {
    this.#pauseMs = 0;
    this.#untilMs = 0;
  }

  /** Starts a pause of the current length. */
  startPause(nowMs: number): void {
    this.#untilMs = nowMs + this.#pauseMs * (1 - JITTER_SHARE * this.#jitter);
  }

  /** The jitter from 0 to 1, which differs between callers and failures. */
  get #jitter(): number {
    const mixed = this.#options.seed * SEED_FACTOR +
      this.#failures * FAILURE_FACTOR;
    return mixed % RANGE / RANGE;
  }
}

/**
 * Schedules the times at which refused callers should retry.
 *
 * Retries are spread at a share of the admission rate, so that the refused
 * callers of a burst don't return as a second burst.
 */
import type { RandomSource } from "../random/mod.ts";

const RATE_WINDOW_MS = 1_000;
const SMOOTHING_FACTOR = 0.3;
/** Lower bound of the admission rate, in programs per second. */
const MIN_RATE_PER_SECOND = 0.5;
const JITTER_SHARE = 0.2;

/** The rate and bounds of scheduled retries. */
export interface RetryAfterBounds {
  /** Retries scheduled per admitted program. */
  readonly returnShare: number;
  readonly leastRetryMs: number;
  readonly mostRetryMs: number;
  /**
   * What callers get for whom no time is free before `mostRetryMs`: the latest
   * time (the default), or any one, so that they don't return together.
   */
  readonly overflow?: "latest" | "spread";
}

/** The retry times that one node has assigned to refused callers. */
export class RetryAfterSchedule {
  readonly #random: RandomSource;
  #rate = MIN_RATE_PER_SECOND;
  #admittedInWindow = 0;
  #windowStartMs = 0;
  #nextRetryAtMs = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Records that a program was admitted. */
  recordAdmitted(nowMs: number): void {
    this.#updateRate(nowMs);
    this.#admittedInWindow += 1;
  }

  /** Takes the next free retry time and returns the delay until then, with jitter. */
  takeRetryAfterMs(bounds: RetryAfterBounds, nowMs: number): number {
    this.#updateRate(nowMs);
    const { returnShare, leastRetryMs, mostRetryMs } = bounds;
    const intervalMs = 1_000 / (this.#rate * returnShare);
    const latestMs = nowMs + mostRetryMs;
    const nextMs = Math.max(this.#nextRetryAtMs, nowMs + leastRetryMs) +
      intervalMs;
    if (nextMs > latestMs && bounds.overflow === "spread") {
      return Math.round(this.#random.takeBetween(leastRetryMs, mostRetryMs));
    }
    this.#nextRetryAtMs = nextMs;
    if (this.#nextRetryAtMs > latestMs) this.#nextRetryAtMs = latestMs;
    const jitter = this.#random.takeBetween(1 - JITTER_SHARE, 1);
    return Math.round((this.#nextRetryAtMs - nowMs) * jitter);
  }

  #updateRate(nowMs: number): void {
    const elapsedMs = nowMs - this.#windowStartMs;
    if (elapsedMs < RATE_WINDOW_MS) return;
    const observedRate = this.#admittedInWindow * 1_000 / elapsedMs;
    const rate = this.#rate + SMOOTHING_FACTOR * (observedRate - this.#rate);
    this.#rate = Math.max(MIN_RATE_PER_SECOND, rate);
    this.#admittedInWindow = 0;
    this.#windowStartMs = nowMs;
  }
}

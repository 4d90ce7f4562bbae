/**
 * Times at which refused callers are asked to come back.
 *
 * Returns are spread at a share of the rate at which programs are admitted, so
 * that a crest doesn't come back as a second one.
 */
import type { RandomSource } from "../random/mod.ts";

const WINDOW_MS = 1_000;
const SMOOTHING = 0.3;
/** Programs a second that are assumed at least. */
const LEAST_RATE = 0.5;
const JITTER = 0.2;

/** The bounds of a return. */
export interface ReturnBounds {
  /** Returns for each admitted program. */
  readonly returnShare: number;
  readonly leastRetryMs: number;
  readonly mostRetryMs: number;
}

/** The returns that one node has promised. */
export class ReturnSchedule {
  readonly #random: RandomSource;
  #rate = LEAST_RATE;
  #admitted = 0;
  #windowStartMs = 0;
  #nextAtMs = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Records that a program was admitted. */
  recordAdmitted(nowMs: number): void {
    this.#updateRate(nowMs);
    this.#admitted += 1;
  }

  /** Takes the next free time and returns how long the caller waits for it. */
  takeReturn(bounds: ReturnBounds, nowMs: number): number {
    this.#updateRate(nowMs);
    const { returnShare, leastRetryMs, mostRetryMs } = bounds;
    const gapMs = 1_000 / (this.#rate * returnShare);
    const latestMs = nowMs + mostRetryMs;
    this.#nextAtMs = Math.max(this.#nextAtMs, nowMs + leastRetryMs) + gapMs;
    if (this.#nextAtMs > latestMs) this.#nextAtMs = latestMs;
    const jitter = this.#random.takeBetween(1 - JITTER, 1);
    return Math.round((this.#nextAtMs - nowMs) * jitter);
  }

  #updateRate(nowMs: number): void {
    const elapsedMs = nowMs - this.#windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    const observed = this.#admitted * 1_000 / elapsedMs;
    const rate = this.#rate + SMOOTHING * (observed - this.#rate);
    this.#rate = Math.max(LEAST_RATE, rate);
    this.#admitted = 0;
    this.#windowStartMs = nowMs;
  }
}

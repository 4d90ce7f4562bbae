/**
 * The pace at which one gateway sends waiting requests to the targets.
 *
 * What gateways know of a target is some 100 ms old, so that all of them see
 * its queue become short at the same time. If each sent all that waits then,
 * the queue would be many times as long as intended. While targets are under
 * pressure, a gateway sends at its own recent rate, which is its share of what
 * they serve, whatever the number of gateways: somewhat less while the wait at
 * the best target is above the intended one, and more below it.
 */

/** Time over which the own rate is measured: several times the view's age. */
const MEAN_MS = 700;
/** Time over which the pressure is averaged. */
const PRESSURE_MS = 50;
/** Bounds of the pace, as multiples of the own rate. */
const MIN_FACTOR = 0.6;
const MAX_FACTOR = 1.6;
/**
 * Below this share of the intended wait, places are empty or soon will be, and
 * the pace is higher.
 */
const IDLE_SHARE = 0.25;
const IDLE_FACTOR = 4;
/** Slowest pace, per ms: else a gateway that was idle could hardly begin. */
const MIN_PER_MS = 0.005;
/** Releases that may follow each other at once, after a pause. */
const BURST = 2;
/** Time without pressure after which there's no pace to keep. */
const FORGET_AFTER_MS = 1_000;

/** The wait at the best target, and the one that's intended. */
export interface TargetPressure {
  readonly waitMs: number;
  readonly intendedMs: number;
}

/** The pace of one gateway at one service. */
export class ReleasePace {
  #recentReleases = 0;
  #measuredAtMs = 0;
  #pressure = 0;
  #pressureAtMs = 0;
  #credit = BURST;
  #perMs = Number.POSITIVE_INFINITY;
  #pressedAtMs = Number.NEGATIVE_INFINITY;

  /** Records the wait at the target of a request that asks to go. */
  update({ waitMs, intendedMs }: TargetPressure, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#pressureAtMs);
    this.#pressureAtMs = nowMs;
    const pressure = waitMs / Math.max(1, intendedMs);
    const weight = 1 - Math.exp(-Math.max(1, elapsedMs) / PRESSURE_MS);
    this.#pressure += weight * (pressure - this.#pressure);
    if (this.#pressure > 1) this.#pressedAtMs = nowMs;
    if (nowMs - this.#pressedAtMs > FORGET_AFTER_MS) {
      this.#perMs = Number.POSITIVE_INFINITY;
      this.#credit = BURST;
      return;
    }
    const rate = this.#measureRate(nowMs);
    this.#perMs = Math.max(MIN_PER_MS, rate * this.#computeFactor());
    this.#credit = Math.min(BURST, this.#credit + elapsedMs * this.#perMs);
  }

  /** Time until a request may go; 0 if one may go now. */
  countWaitMs(): number {
    return Math.max(0, 1 - this.#credit) / this.#perMs;
  }

  recordRelease(nowMs: number): void {
    this.#measureRate(nowMs);
    this.#recentReleases += 1;
    if (Number.isFinite(this.#perMs)) this.#credit -= 1;
  }

  #computeFactor(): number {
    if (this.#pressure < IDLE_SHARE) return IDLE_FACTOR;
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, 1 / this.#pressure));
  }

  /** Measures the recent releases per ms. */
  #measureRate(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#measuredAtMs);
    this.#measuredAtMs = nowMs;
    this.#recentReleases *= Math.exp(-elapsedMs / MEAN_MS);
    return this.#recentReleases / MEAN_MS;
  }
}

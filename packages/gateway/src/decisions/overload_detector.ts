/**
 * Detects whether this process gets too little CPU time for its work.
 *
 * A VM may become several times slower while its callers keep arriving. Its
 * timers then run late continuously, whereas a burst or a short pause of the VM
 * delays only a few of them. Callers are better served by the other gateways
 * until this one catches up.
 */

/** Weight of the newest tick; covers about the last second at 50 ms a tick. */
const SMOOTHING_FACTOR = 0.1;
/** Mean delay beyond which half of a caller's 300 ms is lost here. */
const OVERLOADED_DELAY_MS = 80;
/** Mean delay at which the overload ends; the wide gap prevents flapping. */
const RECOVERED_DELAY_MS = 25;
/** Cap on one delay; a longer one was a pause of the VM, which has ended. */
const MAX_DELAY_MS = 500;

/** Measures the delay of one process's timers. */
export class OverloadDetector {
  #meanDelayMs = 0;
  #overloadedSinceMs: number | undefined;

  /** Mean delay of the recent ticks. */
  get meanDelayMs(): number {
    return this.#meanDelayMs;
  }

  /** Records how late a tick was; returns whether the state changed. */
  recordDelay(delayMs: number, nowMs: number): boolean {
    const delay = Math.min(MAX_DELAY_MS, Math.max(0, delayMs));
    this.#meanDelayMs += SMOOTHING_FACTOR * (delay - this.#meanDelayMs);
    const wasOverloaded = this.#overloadedSinceMs !== undefined;
    const limitMs = wasOverloaded ? RECOVERED_DELAY_MS : OVERLOADED_DELAY_MS;
    if (this.#meanDelayMs <= limitMs) this.#overloadedSinceMs = undefined;
    else this.#overloadedSinceMs ??= nowMs;
    return wasOverloaded !== (this.#overloadedSinceMs !== undefined);
  }

  /** Time since the process became overloaded; 0 while it isn't. */
  measureOverloadMs(nowMs: number): number {
    return this.#overloadedSinceMs === undefined
      ? 0
      : nowMs - this.#overloadedSinceMs;
  }

  get isOverloaded(): boolean {
    return this.#overloadedSinceMs !== undefined;
  }
}

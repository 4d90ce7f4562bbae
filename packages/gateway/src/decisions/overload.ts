/**
 * Tells whether this process gets too little processor time for its work.
 *
 * The load that this answers: a VM that turns several times slower while its
 * callers keep coming. Its timers then run late all the time, whereas a burst or
 * a short stop of the VM delays a few of them. Callers are better served by the
 * other gateways until this one catches up.
 */

/** Weight of the newest tick; about the last second counts at 50 ms a tick. */
const SMOOTHING = 0.1;
/** Mean delay beyond which half of a caller's 300 ms are lost here. */
const OVERLOADED_MS = 80;
/** Mean delay of a process that has caught up; well apart, so as not to flap. */
const CAUGHT_UP_MS = 25;
/** A longer delay was a stop of the VM, which is over by then. */
const MAX_DELAY_MS = 500;

/** The delay of one process's timers. */
export class Overload {
  #meanMs = 0;
  #sinceMs: number | undefined;

  /** Mean delay of the last ticks. */
  get meanDelayMs(): number {
    return this.#meanMs;
  }

  /** Records by how much a tick was late; tells whether the state changed. */
  record(delayMs: number, nowMs: number): boolean {
    const delay = Math.min(MAX_DELAY_MS, Math.max(0, delayMs));
    this.#meanMs += SMOOTHING * (delay - this.#meanMs);
    const wasOverloaded = this.#sinceMs !== undefined;
    const limitMs = wasOverloaded ? CAUGHT_UP_MS : OVERLOADED_MS;
    if (this.#meanMs <= limitMs) this.#sinceMs = undefined;
    else this.#sinceMs ??= nowMs;
    return wasOverloaded !== (this.#sinceMs !== undefined);
  }

  /** Time since the process is overloaded; 0 while it isn't. */
  countForMs(nowMs: number): number {
    return this.#sinceMs === undefined ? 0 : nowMs - this.#sinceMs;
  }

  get isOverloaded(): boolean {
    return this.#sinceMs !== undefined;
  }
}

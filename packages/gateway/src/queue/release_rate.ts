/**
 * The rate at which waiting requests leave a queue for targets. Only time in
 * which requests wait counts.
 */

const HALF_LIFE_MS = 500;
/** Waiting time below which the rate says little. */
const MIN_OBSERVED_MS = 50;

/** The recent rate of one queue. */
export class ReleaseRate {
  #releases = 0;
  #waitingMs = 0;
  #atMs = 0;

  /** Updates the time in which requests waited; call it before a change. */
  update(isWaiting: boolean, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = nowMs;
    if (!isWaiting) return;
    const factor = 2 ** (-elapsedMs / HALF_LIFE_MS);
    this.#releases *= factor;
    this.#waitingMs = this.#waitingMs * factor + elapsedMs;
  }

  recordRelease(): void {
    this.#releases += 1;
  }

  /** Computes the time until `count` requests have gone; 0 if unknown. */
  computeWaitMs(count: number): number {
    if (this.#waitingMs < MIN_OBSERVED_MS || count === 0) return 0;
    // One more than seen, so that a short pause doesn't look like an end.
    return count * this.#waitingMs / (this.#releases + 1);
  }
}

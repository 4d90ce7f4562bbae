/**
 * A clock that also counts the time in which the VM was suspended, when the
 * steady clock stands still.
 */

/** Smaller differences between the clocks are rounding and slewing. */
const TOLERANCE_MS = 5;

/** Counts milliseconds from an arbitrary start; never goes back. */
export class SuspensionClock {
  #suspendedMs = 0;
  /** The wall clock's lead over the steady clock when it was last compared. */
  #leadMs = Date.now() - performance.now();

  /** Time by the steady clock, plus the time that the VM was suspended. */
  readMs(): number {
    const nowMs = performance.now();
    const leadMs = Date.now() - nowMs;
    if (Math.abs(leadMs - this.#leadMs) > TOLERANCE_MS) {
      // A wall clock that was set back counts nothing, and hides nothing later.
      this.#suspendedMs += Math.max(0, leadMs - this.#leadMs);
      this.#leadMs = leadMs;
    }
    return nowMs + this.#suspendedMs;
  }
}

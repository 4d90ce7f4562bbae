/**
 * Measures elapsed time by two clocks, and takes the longer: the steady clock
 * stands still while the VM is suspended, and the wall clock may be set back.
 *
 * Where both happen, neither total is long enough. So each reading also adds up
 * by how much the wall clock has run ahead of the steady one since the last
 * reading, which a later correction of the wall clock doesn't take back.
 */

/** Readings of the clocks differ by rounding; less than this counts as equal. */
const CLOCK_JITTER_MS = 5;

/** A measurement that began at its construction, or `elapsedMs` before it. */
export class Stopwatch {
  readonly #steadyStartMs: number;
  readonly #wallStartMs: number;
  /** The wall clock's lead over the steady one at the last reading. */
  #leadMs: number;
  /** Sum of all increases of the lead. */
  #suspendedMs = 0;

  constructor(elapsedMs = 0) {
    const steadyMs = performance.now();
    const wallMs = Date.now();
    this.#steadyStartMs = steadyMs - elapsedMs;
    this.#wallStartMs = wallMs - elapsedMs;
    this.#leadMs = wallMs - steadyMs;
  }

  get elapsedMs(): number {
    const steadyMs = performance.now();
    const wallMs = Date.now();
    const increaseMs = wallMs - steadyMs - this.#leadMs;
    if (Math.abs(increaseMs) >= CLOCK_JITTER_MS) {
      this.#leadMs += increaseMs;
      this.#suspendedMs += Math.max(0, increaseMs);
    }
    return Math.max(
      steadyMs - this.#steadyStartMs + this.#suspendedMs,
      wallMs - this.#wallStartMs,
    );
  }
}

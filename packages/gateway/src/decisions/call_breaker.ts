/**
 * Decides whether a process may call the store while its calls fail.
 *
 * The load: every gateway reads what it couldn't confirm, several kinds of
 * objects each, at the moment at which the store goes away. Hundreds of
 * processes then repeat calls that can't succeed, and use up the calls that all
 * of them share once the store is back. After consecutive failures one call at
 * a time is let through, after pauses that grow. The processes that others copy
 * from pause less, so that the first success reaches everyone soon.
 */

/** Consecutive failures after which calls are held back. */
const FAILURES_TO_OPEN = 2;

/** Pauses between calls while they fail, in ms. */
export interface BreakerPauses {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** The calls of one process to the store. */
export class CallBreaker {
  readonly #getPauses: () => BreakerPauses;
  #failures = 0;
  #openUntilMs = Number.NEGATIVE_INFINITY;
  #isProbing = false;

  constructor(getPauses: () => BreakerPauses) {
    this.#getPauses = getPauses;
  }

  /** Whether calls are held back. */
  get isOpen(): boolean {
    return this.#failures >= FAILURES_TO_OPEN;
  }

  /** Starts a call; false if it's held back. */
  startCall(nowMs: number): boolean {
    if (!this.isOpen) return true;
    if (this.#isProbing || nowMs < this.#openUntilMs) return false;
    this.#isProbing = true;
    return true;
  }

  /** Records that the store responded. */
  recordResponse(): void {
    this.#failures = 0;
    this.#isProbing = false;
  }

  /**
   * Records a call without a usable response; `random` in [0, 1) spreads the
   * calls of processes that failed together.
   */
  recordFailure(nowMs: number, random: number): void {
    this.#failures += 1;
    this.#isProbing = false;
    if (!this.isOpen) return;
    const { firstMs, maxMs } = this.#getPauses();
    const grownMs = firstMs * 2 ** (this.#failures - FAILURES_TO_OPEN);
    this.#openUntilMs = nowMs + Math.min(maxMs, grownMs) * (0.75 + random / 2);
  }
}

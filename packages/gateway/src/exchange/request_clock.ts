/**
 * The time that one request has: since its arrival, and until its final
 * response is due.
 */

/** Share of the request's time within which it waits for a target. */
const MAX_WAIT_SHARE = 0.4;

/** The time of one request. */
export class RequestClock {
  readonly #receivedAtMs: number;
  readonly #limitMs: number;

  constructor(
    { receivedAtMs, limitMs }: {
      readonly receivedAtMs: number;
      readonly limitMs: number;
    },
  ) {
    this.#receivedAtMs = receivedAtMs;
    this.#limitMs = limitMs;
  }

  get deadlineAtMs(): number {
    return this.#receivedAtMs + this.#limitMs;
  }

  countLeftMs(): number {
    return Math.max(0, Math.floor(this.deadlineAtMs - performance.now()));
  }

  countElapsedMs(): number {
    return performance.now() - this.#receivedAtMs;
  }

  /** Until when the request waits for a target, where nothing asks for order. */
  get waitUntilMs(): number {
    return this.#receivedAtMs + this.#limitMs * MAX_WAIT_SHARE;
  }
}

/**
 * Runs periodic callbacks.
 *
 * The service reads no clock. Its owner passes the time, and tests pass a
 * virtual time.
 */

/** A periodic callback. */
interface Subscription {
  readonly periodMs: number;
  readonly run: (nowMs: number) => void;
  dueAtMs: number;
}

/** The periodic callbacks of a node. */
export class TimerService {
  readonly #subscriptions: Subscription[] = [];

  /** Subscribes a callback that is due at once and then after each period. */
  subscribe(periodMs: number, run: (nowMs: number) => void): void {
    this.#subscriptions.push({ periodMs, run, dueAtMs: -Infinity });
  }

  /** Runs the callbacks that are due. Several missed periods run once. */
  runDue(nowMs: number): void {
    for (const subscription of this.#subscriptions) {
      if (subscription.dueAtMs > nowMs) continue;
      subscription.dueAtMs = nowMs + subscription.periodMs;
      subscription.run(nowMs);
    }
  }
}

/**
 * Calls parts back at the periods that they subscribed for.
 *
 * The service has no clock: whoever owns it tells it the time. Tests tell it a
 * virtual one.
 */

/** Work that is due again and again. */
interface Subscription {
  readonly periodMs: number;
  readonly run: (nowMs: number) => void;
  dueAtMs: number;
}

/** The periodic work of a node. */
export class TimerService {
  readonly #subscriptions: Subscription[] = [];

  /** Subscribes work that is due at once and then after each period. */
  subscribe(periodMs: number, run: (nowMs: number) => void): void {
    this.#subscriptions.push({ periodMs, run, dueAtMs: -Infinity });
  }

  /** Runs what is due. Periods that were missed are run once. */
  runDue(nowMs: number): void {
    for (const subscription of this.#subscriptions) {
      if (subscription.dueAtMs > nowMs) continue;
      subscription.dueAtMs = nowMs + subscription.periodMs;
      subscription.run(nowMs);
    }
  }
}

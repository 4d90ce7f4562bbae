/**
 * How fast the requests of each class leave the queue of a service, and when
 * the refused ones return.
 */
import type { RandomSource } from "@camphorlock/scheduler/random";
import { RetryAfterSchedule } from "@camphorlock/scheduler/retry_after";
import { computeReturnBounds, type RefusedRequest } from "./queue_rules.ts";
import { ReleaseRate } from "./release_rate.ts";

/** Part of the admission rate that is left to callers who return. */
const RETURN_SHARE = 0.5;

/** The flow of one class. */
export class ClassFlow {
  readonly #rate = new ReleaseRate();
  readonly #retries: RetryAfterSchedule;
  #waiting = 0;

  constructor(random: RandomSource) {
    this.#retries = new RetryAfterSchedule(random);
  }

  /** Records that a request begins (1) or ends (-1) to wait. */
  recordWaiting(change: 1 | -1, nowMs: number): void {
    this.#rate.update(this.#waiting > 0, nowMs);
    this.#waiting += change;
  }

  /** Records that a request goes to a target. */
  recordRelease(nowMs: number): void {
    // While none waits, the rate is that of the arrivals.
    if (this.#waiting > 0) this.#rate.recordRelease();
    this.#retries.recordAdmitted(nowMs);
  }

  /** Computes the time until `count` waiting requests have gone. */
  computeWaitMs(count: number): number {
    return this.#rate.computeWaitMs(count);
  }

  /** Takes the time after which a refused caller should return. */
  takeRetryAfterMs(
    refused: RefusedRequest,
    nowMs: number,
  ): number {
    return this.#retries.takeRetryAfterMs({
      ...computeReturnBounds(refused),
      returnShare: RETURN_SHARE,
      overflow: "spread",
    }, nowMs);
  }
}

/** The flows of a service's classes, by rank. */
export class ClassFlows {
  readonly #random: RandomSource;
  readonly #flows: ClassFlow[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  get({ rank }: { readonly rank: number }): ClassFlow {
    while (this.#flows.length <= rank) {
      this.#flows.push(new ClassFlow(this.#random));
    }
    return this.#flows[rank] as ClassFlow;
  }
}

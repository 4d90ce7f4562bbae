/**
 * What is expected of the requests of one service: how long they wait in the
 * queue and at their targets.
 */
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { ClassFlows } from "./class_flow.ts";
import {
  computeMaxBacklogMs,
  computeQueueWaitMs,
  type ExpectedStart,
} from "./queue_rules.ts";
import type { QueuedRequest, QueueView } from "./queued_request.ts";
import type { WaitingOrder } from "./waiting_order.ts";

/** The best target of a request now. */
export interface PresentChoice {
  readonly choice: PlacementChoice | undefined;
  readonly nowMs: number;
}

/** The expectations of one queue. */
export class QueueForecast<T extends QueuedRequest> {
  readonly #order: WaitingOrder<T>;
  readonly #flows: ClassFlows;

  constructor(order: WaitingOrder<T>, flows: ClassFlows) {
    this.#order = order;
    this.#flows = flows;
  }

  /** Computes what is expected of a request that is the next in order. */
  computeNext(request: T, present: PresentChoice): ExpectedStart {
    return this.#compute(request, { ...present, ahead: 0 });
  }

  /** Computes what is expected of a waiting request. */
  computeWaiting(request: T, present: PresentChoice): ExpectedStart {
    const ahead = this.#countBefore(request);
    return this.#compute(request, { ...present, ahead });
  }

  /** Builds the view that a decision is logged with. */
  buildView(
    request: T,
    present: PresentChoice & { readonly waiting: number },
  ): QueueView {
    const expected = this.computeWaiting(request, present);
    return {
      rank: this.#order.getRank(request),
      classes: request.classes,
      position: this.#countBefore(request),
      waiting: present.waiting,
      targetWaitMs: present.choice?.estimate.waitMs,
      maxBacklogMs: expected.maxBacklogMs,
      queueWaitMs: computeQueueWaitMs(expected),
      leftMs: expected.leftMs,
    };
  }

  #countBefore(request: T): number {
    return this.#order.has(request) ? this.#order.countBefore(request) : 0;
  }

  #compute(
    request: T,
    { choice, nowMs, ahead }: PresentChoice & { readonly ahead: number },
  ): ExpectedStart {
    const { classes, targetLatencyMs, isOrdered } = request;
    const rank = this.#order.isStarved(request, nowMs)
      ? 0
      : this.#order.getRank(request);
    return {
      estimate: choice?.estimate,
      // A request that may have run isn't held back: nobody may refuse it.
      maxBacklogMs: isOrdered && request.canBeRefused()
        ? computeMaxBacklogMs({ rank, classes, targetLatencyMs })
        : Number.POSITIVE_INFINITY,
      aheadMs: this.#flows.get(request).computeWaitMs(ahead),
      leftMs: request.deadlineAtMs - nowMs,
    };
  }
}

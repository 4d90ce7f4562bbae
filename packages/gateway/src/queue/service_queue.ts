/**
 * The queue of one service: which requests go now, which wait, and which are
 * refused. It reads no clock; its owner calls `runStep` when something changed
 * and after `countNextStepMs`.
 */
import type { RandomSource } from "@camphorlock/scheduler/random";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import { ClassFlows } from "./class_flow.ts";
import { DueTimes } from "./due_times.ts";
import { type PresentChoice, QueueForecast } from "./queue_forecast.ts";
import {
  canFinish,
  computeIntendedBacklogMs,
  computePromotionMs,
  computeReservedMs,
  isPaced,
} from "./queue_rules.ts";
import type { QueueDecision, QueuedRequest } from "./queued_request.ts";
import { ReleaseGate } from "./release_gate.ts";
import { SetAside } from "./set_aside.ts";
import { WaitingOrder } from "./waiting_order.ts";

/**
 * Each waiting request holds its caller's connection, so that the bound on
 * connections is met first on most VMs; this one bounds a step's cost.
 */
export const MAX_WAITING = 2_000;
/**
 * Requests for which a step searches a target. What holds back four in order
 * most likely holds back the others.
 */
const MAX_SEARCHES = 4;
/** A decision on a request. */
export interface SettledRequest<T extends QueuedRequest> {
  readonly request: T;
  readonly decision: QueueDecision;
}

/** The queue of one service at one gateway. */
export class ServiceQueue<T extends QueuedRequest> {
  readonly #maxWaiting: number;
  readonly #order = new WaitingOrder<T>();
  readonly #due = new DueTimes<T>();
  readonly #setAside = new SetAside<T>();
  readonly #flows: ClassFlows;
  readonly #forecast: QueueForecast<T>;
  readonly #gate = new ReleaseGate();
  #promotions = 0;

  constructor(
    random: RandomSource,
    { maxWaiting = MAX_WAITING }: { readonly maxWaiting?: number } = {},
  ) {
    this.#maxWaiting = maxWaiting;
    this.#flows = new ClassFlows(random);
    this.#forecast = new QueueForecast(this.#order, this.#flows);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#order.size + this.#setAside.size;
  }

  /** Number of times that requests moved up by a class. */
  get promotions(): number {
    return this.#promotions;
  }

  /** Time until the next step; infinite while none waits. */
  countNextStepMs(): number {
    return this.size === 0 ? Number.POSITIVE_INFINITY : this.#gate.stepMs;
  }

  /** Records a request's arrival. */
  recordOffered(request: T, nowMs: number): void {
    this.#order.recordOffered(request, nowMs);
  }

  /** Records that every target rejected a request that had its turn. */
  recordRejected(request: T, nowMs: number): void {
    this.#order.recordRejected(request, nowMs);
  }

  /**
   * Adds a request, whose best target may be known, and returns what that
   * settles: that it goes at once, or that it or another one is refused.
   */
  add(
    request: T,
    choice: PlacementChoice | undefined,
    nowMs: number,
  ): SettledRequest<T>[] {
    if (this.size === 0) this.#gate.recordFirst(nowMs);
    if (choice !== undefined && this.#order.size === 0) {
      if (this.#canGo(request, choice, nowMs)) {
        return [this.#release(request, { choice, nowMs })];
      }
    }
    this.#addWaiting(request, nowMs);
    const refused = this.#refuseLate(request, { choice, nowMs });
    if (refused !== undefined) return [refused];
    if (this.size <= this.#maxWaiting) return [];
    const last = this.#order.findLast() ?? request;
    return [this.#refuse(last, { reason: "full", choice: undefined, nowMs })];
  }

  /** Removes a waiting request; false if it doesn't wait. */
  remove(request: T, nowMs: number): boolean {
    const isRemoved = this.#order.remove(request) ||
      this.#setAside.remove(request);
    if (!isRemoved) return false;
    this.#due.remove(request);
    this.#flows.get(request).recordWaiting(-1, nowMs);
    return true;
  }

  /**
   * Settles what is due and lets at most one request go, so that the next step
   * sees it at its target.
   */
  runStep(nowMs: number): SettledRequest<T>[] {
    this.#gate.startStep();
    const settled = this.#settleDue(nowMs);
    for (const { request, rank } of this.#setAside.takeDue(nowMs)) {
      this.#order.add(request, { rank, nowMs });
    }
    for (const request of this.#order.listFirst(MAX_SEARCHES, nowMs)) {
      const found = this.#settleFirst(request, nowMs);
      if (found !== undefined) settled.push(found);
      if (found?.decision.kind === "go" || this.#gate.isShut) break;
    }
    return settled;
  }

  /** Decides on the first in order; undefined if it has to wait. */
  #settleFirst(request: T, nowMs: number): SettledRequest<T> | undefined {
    const search = request.findTarget();
    if (search === "recheck") {
      this.remove(request, nowMs);
      return { request, decision: { kind: "recheck" } };
    }
    if (search !== undefined && this.#canGo(request, search, nowMs)) {
      return this.#release(request, { choice: search, nowMs });
    }
    const refused = this.#refuseLate(request, { choice: search, nowMs });
    if (refused !== undefined) return refused;
    if (search !== undefined) return undefined;
    if (!request.isConstrained()) this.#gate.close();
    else this.#addAside(request, nowMs);
    return undefined;
  }

  #addAside(request: T, nowMs: number): void {
    const rank = this.#order.getRank(request);
    this.#order.remove(request);
    this.#setAside.add(request, { rank, nowMs });
  }

  #canGo(request: T, choice: PlacementChoice, nowMs: number): boolean {
    const expected = this.#forecast.computeNext(request, { choice, nowMs });
    const isBound = isRefusable(request);
    if (isBound && !canFinish(expected)) return false;
    return this.#gate.canGo({
      choice,
      maxBacklogMs: expected.maxBacklogMs,
      intendedMs: isBound && isPaced(request)
        ? computeIntendedBacklogMs(request)
        : undefined,
      waiting: this.size,
    }, nowMs);
  }

  #release(
    request: T,
    present: PresentChoice & { readonly choice: PlacementChoice },
  ): SettledRequest<T> {
    const { choice, nowMs } = present;
    const waiting = this.size;
    const view = this.#forecast.buildView(request, { ...present, waiting });
    this.#flows.get(request).recordRelease(nowMs);
    this.remove(request, nowMs);
    this.#gate.recordRelease(nowMs);
    this.#order.recordServed(request, nowMs);
    return { request, decision: { kind: "go", choice, view } };
  }

  /** Refuses a waiting request if it can't be answered in its time. */
  #refuseLate(
    request: T,
    present: PresentChoice,
  ): SettledRequest<T> | undefined {
    if (!isRefusable(request)) return undefined;
    const expected = this.#forecast.computeWaiting(request, present);
    if (!canFinish(expected)) {
      return this.#refuse(request, { reason: "late", ...present });
    }
    const { estimate, leftMs } = expected;
    if (estimate === undefined) return undefined;
    const reservedMs = computeReservedMs(estimate, leftMs);
    this.#due.updateExpiry(request, request.deadlineAtMs - reservedMs);
    return undefined;
  }

  #refuse(
    request: T,
    { reason, ...present }: PresentChoice & {
      readonly reason: "late" | "full";
    },
  ): SettledRequest<T> {
    const waiting = this.size;
    const view = this.#forecast.buildView(request, { ...present, waiting });
    this.remove(request, present.nowMs);
    const retryAfterMs = this.#flows.get(request).takeRetryAfterMs({
      rank: request.rank,
      classes: request.classes,
      roomInMs: view.queueWaitMs,
      leftMs: view.leftMs,
    }, present.nowMs);
    const decision = { kind: "refuse", reason, retryAfterMs, view } as const;
    return { request, decision };
  }

  #addWaiting(request: T, nowMs: number): void {
    this.#flows.get(request).recordWaiting(1, nowMs);
    this.#order.add(request, { nowMs });
    const { rank, deadlineAtMs, latestStartMs, lateAtMs } = request;
    const everyMs = computePromotionMs(deadlineAtMs - nowMs, rank);
    this.#due.add(request, {
      lateAtMs,
      expireAtMs: latestStartMs,
      promoteAtMs: nowMs + everyMs,
      promoteEveryMs: everyMs,
    });
  }

  #settleDue(nowMs: number): SettledRequest<T>[] {
    const settled: SettledRequest<T>[] = [];
    for (;;) {
      const due = this.#due.takeDue(nowMs);
      if (due === undefined) return settled;
      const { request, kind } = due;
      if (kind === "late") {
        this.#order.setLate(request, nowMs);
        continue;
      }
      if (kind === "promote") {
        if (this.#order.updateRank(request, nowMs)) this.#promotions += 1;
        continue;
      }
      settled.push(this.#settleExpired(request, nowMs));
    }
  }

  #settleExpired(request: T, nowMs: number): SettledRequest<T> {
    const present = { choice: undefined, nowMs };
    if (isRefusable(request)) {
      return this.#refuse(request, { reason: "late", ...present });
    }
    const waiting = this.size;
    const view = this.#forecast.buildView(request, { ...present, waiting });
    this.remove(request, nowMs);
    return { request, decision: { kind: "expired", view } };
  }
}

/** Whether the queue may refuse a request, rather than let its time pass. */
function isRefusable(request: QueuedRequest): boolean {
  return request.isOrdered && request.canBeRefused();
}

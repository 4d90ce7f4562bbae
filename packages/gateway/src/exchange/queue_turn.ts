/**
 * The turn of one request in the queue of its service: describes the request to
 * the queue, waits, and logs what the queue decided and by what.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import type { LogFields } from "@camphorlock/types";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type {
  QueuedRequest,
  QueueView,
  TargetSearch,
} from "../queue/queued_request.ts";
import {
  computeLateAfterMs,
  computeReservedMs,
  computeWorkMs,
  isLongWork,
} from "../queue/queue_rules.ts";
import { computeRank } from "../queue/service_classes.ts";
import type { TurnState } from "../turns/turn_state.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import type { RequestClock } from "./request_clock.ts";
import {
  logRequest,
  type RequestOutcome,
  type RequestReport,
} from "./request_end.ts";

/** Shortest time in which a target can respond. */
const MIN_RESPONSE_MS = 20;

/** The request that takes its turn. */
export interface QueueTurnOptions {
  readonly report: RequestReport;
  readonly state: TurnState;
  readonly clock: RequestClock;
  /** Whether only some of the service's targets may take the request. */
  isConstrained(): boolean;
  /** Chooses among all targets, also those that rejected it before. */
  findTarget(): TargetSearch;
}

/** The end of a turn. */
export type TurnAnswer =
  | { readonly kind: "go"; readonly choice: PlacementChoice }
  | { readonly kind: "recheck" }
  | { readonly kind: "expired" }
  | { readonly kind: "refused"; readonly outcome: RequestOutcome };

/** The turn of one request. */
export class QueueTurn {
  readonly #dependencies: ExchangeDependencies;
  readonly #options: QueueTurnOptions;
  #request: QueuedRequest | undefined;
  #hasGone = false;

  constructor(dependencies: ExchangeDependencies, options: QueueTurnOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
  }

  /** Whether the request has had its turn and may try other targets at once. */
  get hasGone(): boolean {
    return this.#hasGone;
  }

  /** Waits for the request's turn. Never rejects. */
  async take(choice: PlacementChoice | undefined): Promise<TurnAnswer> {
    const { queue, metrics } = this.#dependencies;
    const { service, accepted, sends } = this.#options.report;
    const request = this.#getRequest(choice);
    if (this.#hasGone && !sends.mayHaveRun) {
      queue.recordRejected(service, request);
    }
    this.#hasGone = false;
    const startedAtMs = performance.now();
    const answer = await queue.waitForTurn(service, request, choice);
    const waitedMs = performance.now() - startedAtMs;
    switch (answer.kind) {
      case "go":
        this.#hasGone = true;
        queue.recordProgram(accepted.fields.programId);
        if (answer.choice !== choice) {
          metrics.record("queue_wait", waitedMs);
          this.#logWait(answer.view, waitedMs);
        }
        return { kind: "go", choice: answer.choice };
      case "refuse": {
        const isFull = answer.reason === "full";
        metrics.add(isFull ? "queue_refusals_full" : "queue_refusals_late");
        return {
          kind: "refused",
          outcome: this.#buildRefusal(answer, waitedMs),
        };
      }
      case "expired":
        return { kind: "expired" };
      default:
        return { kind: "recheck" };
    }
  }

  /** Ends the wait. */
  stop(): void {
    if (this.#request === undefined) return;
    const { service } = this.#options.report;
    this.#dependencies.queue.cancel(service, this.#request);
  }

  #getRequest(choice: PlacementChoice | undefined): QueuedRequest {
    if (this.#request !== undefined) return this.#request;
    const { queue } = this.#dependencies;
    const { service } = this.#options.report;
    this.#request = this.#buildRequest(choice);
    queue.recordOffered(service, this.#request);
    return this.#request;
  }

  #buildRequest(choice: PlacementChoice | undefined): QueuedRequest {
    const { queue } = this.#dependencies;
    const { report, clock, isConstrained, findTarget } = this.#options;
    const { accepted, sends, service } = report;
    const { fields: { programLeftMs }, route, tenant } = accepted;
    const classes = queue.getClasses(service);
    const programEndMs = programLeftMs === undefined
      ? Number.POSITIVE_INFINITY
      : accepted.receivedAtMs + programLeftMs;
    const { isOrdered } = classes;
    return {
      sequence: queue.takeSequence(),
      tenant: tenant?.name ?? "",
      rank: computeRank(classes, accepted),
      classes: classes.priorities.length,
      isOrdered,
      hasBegun: this.#hasBegun(),
      isLong: isLongWork(choice?.estimate, route.targetLatencyMs),
      workMs: computeWorkMs(choice?.estimate),
      dueAtMs: Math.min(programEndMs, clock.deadlineAtMs),
      targetLatencyMs: route.targetLatencyMs,
      deadlineAtMs: clock.deadlineAtMs,
      lateAtMs: this.#computeLateAtMs(choice),
      latestStartMs: isOrdered
        ? clock.deadlineAtMs - MIN_RESPONSE_MS
        : clock.waitUntilMs,
      canBeRefused: () => !sends.mayHaveRun,
      isConstrained,
      findTarget,
    };
  }

  /**
   * Computes when the request can no longer start and earn anything in full. A
   * turn is one of several: its program's end counts, and it's late by a little
   * if its own objective is missed.
   */
  #computeLateAtMs(choice: PlacementChoice | undefined): number {
    const { queue } = this.#dependencies;
    const { report: { accepted, service }, clock } = this.#options;
    const { fields: { programLeftMs }, route, receivedAtMs } = accepted;
    const workMs = computeReservedMs(choice?.estimate, clock.countLeftMs());
    if (programLeftMs !== undefined) {
      return receivedAtMs + programLeftMs - workMs;
    }
    return route.kind === "streaming"
      ? clock.deadlineAtMs
      : receivedAtMs + computeLateAfterMs({
        classes: queue.getClasses(service).priorities.length,
        targetLatencyMs: route.targetLatencyMs,
      }, workMs);
  }

  #hasBegun(): boolean {
    const { report: { accepted: { fields } }, state } = this.#options;
    const { programId, previousTurnId, resumeAfter } = fields;
    return previousTurnId !== undefined || resumeAfter > 0 ||
      state.grant?.hasBegun === true ||
      (programId !== undefined &&
        this.#dependencies.queue.hasProgramBegun(programId));
  }

  #buildRefusal(
    { reason, retryAfterMs, view }: {
      readonly reason: "late" | "full";
      readonly retryAfterMs: number;
      readonly view: QueueView;
    },
    waitedMs: number,
  ): RequestOutcome {
    const isFull = reason === "full";
    return {
      kind: "refused",
      code: isFull ? RESULT_CODES.QueueFull : RESULT_CODES.CannotFinish,
      detail: isFull
        ? `${view.waiting} requests wait, and this one is the last in order`
        : `${Math.round(view.leftMs)} ms are left, and the wait is expected ` +
          `to take ${Math.round(computeWaitMs(view))} ms`,
      retryAfterMs,
      inputs: formatView(view, waitedMs),
    };
  }

  #logWait(view: QueueView, waitedMs: number): void {
    logRequest(this.#dependencies, this.#options.report, {
      event: EVENTS.RequestQueued,
      ...formatView(view, waitedMs),
    });
  }
}

function computeWaitMs({ queueWaitMs, targetWaitMs = 0 }: QueueView): number {
  return queueWaitMs + targetWaitMs;
}

/** Formats what a decision was made by; an unlimited wait is left out. */
function formatView(view: QueueView, waitedMs: number): LogFields {
  const { targetWaitMs, maxBacklogMs } = view;
  return {
    queue_wait_ms: Math.round(waitedMs),
    class: view.rank % Math.max(1, view.classes),
    late: view.rank >= view.classes ? true : undefined,
    classes: view.classes,
    position: view.position,
    waiting: view.waiting,
    expected_wait_ms: Math.round(view.queueWaitMs),
    target_wait_ms: targetWaitMs === undefined
      ? undefined
      : Math.round(targetWaitMs),
    max_target_wait_ms: Number.isFinite(maxBacklogMs)
      ? Math.round(maxBacklogMs)
      : undefined,
    left_ms: Math.round(view.leftMs),
  };
}

/**
 * An object store with fault injection, for tests under virtual time.
 */
import {
  checkNever,
  type PlatformRequest,
  type PlatformResponse,
} from "@camphorlock/types";
import type { FaultPlan } from "./fault_plan.ts";
import type { ObjectStore, WatchListener } from "./object_store.ts";

/** The response that the caller of a request receives, and its delay. */
export type FaultyResponse =
  | {
    readonly kind: "answered";
    readonly answer: PlatformResponse;
    readonly delayMs: number;
  }
  /** The caller receives no response, so its timeout ends the call. */
  | { readonly kind: "silent" }
  /** The connection is closed without a response. */
  | { readonly kind: "cut" };

type WatchRequest = Extract<PlatformRequest, { kind: "watch" }>;

interface DelayedRequest {
  readonly atMs: number;
  readonly request: PlatformRequest;
}

/** An object store that applies a plan's faults to its requests. */
export class FaultyStore {
  readonly store: ObjectStore;
  readonly plan: FaultPlan;
  #delayed: DelayedRequest[] = [];

  constructor(store: ObjectStore, plan: FaultPlan) {
    this.store = store;
    this.plan = plan;
  }

  /** Handles a request that arrives at `nowMs`. */
  handle(request: PlatformRequest, nowMs: number): FaultyResponse {
    this.applyDelayed(nowMs);
    const decision = this.plan.choose(request, nowMs);
    switch (decision.kind) {
      case "pass":
        return {
          kind: "answered",
          answer: this.store.handle(request, nowMs),
          delayMs: decision.delayMs,
        };
      case "refuse":
        return buildFailedResponse("refused");
      case "throttle":
        return buildFailedResponse("rate_limited");
      case "vanish":
        return { kind: "silent" };
      case "lose_answer":
        this.store.handle(request, nowMs);
        return { kind: "cut" };
      case "delay_effect":
        this.#delayed.push({ atMs: nowMs + decision.delayMs, request });
        return { kind: "cut" };
      default:
        return checkNever(decision);
    }
  }

  /**
   * Watches for a change as `ObjectStore.watch` does. A fault at the start makes
   * the watch fail or leaves it without a response. A fault at the time of the
   * response drops the response.
   */
  watch(
    request: WatchRequest,
    options: { readonly nowMs: number; readonly answer: WatchListener },
  ): () => void {
    this.applyDelayed(options.nowMs);
    const decision = this.plan.choose(request, options.nowMs);
    if (decision.kind === "pass") {
      return this.store.watch(request, {
        nowMs: options.nowMs,
        answer: (response, nowMs) => {
          const isDelivered = this.plan.choose(request, nowMs).kind === "pass";
          if (isDelivered) options.answer(response, nowMs);
        },
      });
    }
    if (decision.kind === "refuse" || decision.kind === "throttle") {
      const reason = decision.kind === "refuse" ? "refused" : "rate_limited";
      options.answer({ kind: "failed", reason }, options.nowMs);
    }
    return () => {};
  }

  /** Applies the delayed requests that are due. */
  applyDelayed(nowMs: number): void {
    const due = this.#delayed.filter((delayed) => delayed.atMs <= nowMs);
    if (due.length === 0) return;
    this.#delayed = this.#delayed.filter((delayed) => delayed.atMs > nowMs);
    due.sort((first, second) => first.atMs - second.atMs);
    for (const delayed of due) this.store.handle(delayed.request, delayed.atMs);
  }

  /** Finds the time at which the next delayed request takes effect, if any. */
  findNextDelayedMs(): number | undefined {
    if (this.#delayed.length === 0) return undefined;
    return Math.min(...this.#delayed.map((delayed) => delayed.atMs));
  }
}

function buildFailedResponse(
  reason: "refused" | "rate_limited",
): FaultyResponse {
  return {
    kind: "answered",
    answer: { kind: "failed", reason },
    delayMs: 0,
  };
}

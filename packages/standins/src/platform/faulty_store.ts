/**
 * An object store behind a fault plan, for tests under virtual time.
 */
import {
  checkNever,
  type PlatformAnswer,
  type PlatformRequest,
} from "@camphorlock/types";
import type { FaultPlan } from "./fault_plan.ts";
import type { ObjectStore, WatchListener } from "./object_store.ts";

/** What the caller of a request sees, and when. */
export type FaultyAnswer =
  | {
    readonly kind: "answered";
    readonly answer: PlatformAnswer;
    readonly delayMs: number;
  }
  /** No answer ever comes: the caller's timeout decides. */
  | { readonly kind: "silent" }
  /** The connection breaks instead of an answer. */
  | { readonly kind: "cut" };

type WatchRequest = Extract<PlatformRequest, { kind: "watch" }>;

interface LateRequest {
  readonly atMs: number;
  readonly request: PlatformRequest;
}

/** An object store whose requests meet planned faults. */
export class FaultyStore {
  readonly store: ObjectStore;
  readonly plan: FaultPlan;
  #late: LateRequest[] = [];

  constructor(store: ObjectStore, plan: FaultPlan) {
    this.store = store;
    this.plan = plan;
  }

  /** Handles a request that arrives at the platform now. */
  handle(request: PlatformRequest, nowMs: number): FaultyAnswer {
    this.applyLate(nowMs);
    const decision = this.plan.choose(request, nowMs);
    switch (decision.kind) {
      case "pass":
        return {
          kind: "answered",
          answer: this.store.handle(request, nowMs),
          delayMs: decision.delayMs,
        };
      case "refuse":
        return answerFailed("refused");
      case "throttle":
        return answerFailed("rate_limited");
      case "vanish":
        return { kind: "silent" };
      case "lose_answer":
        this.store.handle(request, nowMs);
        return { kind: "cut" };
      case "delay_effect":
        this.#late.push({ atMs: nowMs + decision.delayMs, request });
        return { kind: "cut" };
      default:
        return checkNever(decision);
    }
  }

  /**
   * Waits for a change as `ObjectStore.watch` does. A fault at the beginning
   * answers it as failed, or never; a fault when it would be answered leaves it
   * without an answer.
   */
  watch(
    request: WatchRequest,
    options: { readonly nowMs: number; readonly answer: WatchListener },
  ): () => void {
    this.applyLate(options.nowMs);
    const decision = this.plan.choose(request, options.nowMs);
    if (decision.kind === "pass") {
      return this.store.watch(request, {
        nowMs: options.nowMs,
        answer: (answer, nowMs) => {
          const isWhole = this.plan.choose(request, nowMs).kind === "pass";
          if (isWhole) options.answer(answer, nowMs);
        },
      });
    }
    if (decision.kind === "refuse" || decision.kind === "throttle") {
      const reason = decision.kind === "refuse" ? "refused" : "rate_limited";
      options.answer({ kind: "failed", reason }, options.nowMs);
    }
    return () => {};
  }

  /** Lets delayed requests take effect that are due. */
  applyLate(nowMs: number): void {
    const due = this.#late.filter((late) => late.atMs <= nowMs);
    if (due.length === 0) return;
    this.#late = this.#late.filter((late) => late.atMs > nowMs);
    due.sort((first, second) => first.atMs - second.atMs);
    for (const late of due) this.store.handle(late.request, late.atMs);
  }

  /** When the next delayed request takes effect, if any. */
  findNextLate(): number | undefined {
    if (this.#late.length === 0) return undefined;
    return Math.min(...this.#late.map((late) => late.atMs));
  }
}

function answerFailed(reason: "refused" | "rate_limited"): FaultyAnswer {
  return {
    kind: "answered",
    answer: { kind: "failed", reason },
    delayMs: 0,
  };
}

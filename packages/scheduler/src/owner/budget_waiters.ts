/**
 * Calls that wait until more of a shared budget has been drawn.
 */
import { createFailure } from "@camphorlock/codes";
import type { CallerRequest, RequestId } from "@camphorlock/types";
import type { OwnerContext, RequestOrigin } from "./owner_context.ts";

/** A request to run a call. */
export type RunCallRequest = Extract<CallerRequest, { kind: "run_call" }>;

/** A request and since when it waits. */
interface WaitingRequest {
  readonly origin: RequestOrigin;
  readonly request: RunCallRequest;
  readonly sinceMs: number;
}

/** The calls of one shard that wait for a draw. */
export class BudgetWaiters {
  readonly #context: OwnerContext;
  readonly #waiting = new Map<RequestId, WaitingRequest>();
  /** Since when a request waits, also while it is tried again. */
  readonly #sinceMs = new Map<RequestId, number>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Adds a request, or refuses one that has waited too long. */
  add(origin: RequestOrigin, request: RunCallRequest): void {
    const { nowMs, options } = this.#context;
    const { requestId } = origin;
    const sinceMs = this.#sinceMs.get(requestId) ?? nowMs;
    this.#sinceMs.set(requestId, sinceMs);
    const { budgetTimeoutMs } = options.limits;
    if (nowMs - sinceMs < budgetTimeoutMs) {
      this.#waiting.set(requestId, { origin, request, sinceMs });
      return;
    }
    this.#sinceMs.delete(requestId);
    const detail = "no portion of the shared budget could be drawn in time";
    const failure = createFailure(
      "PlatformUnavailable",
      detail,
      budgetTimeoutMs,
    );
    this.#context.confirm(() => this.#context.refuse(origin, failure));
  }

  /** Takes every request, to be tried again. */
  takeAll(): readonly WaitingRequest[] {
    const taken = [...this.#waiting.values()];
    this.#waiting.clear();
    if (taken.length === 0) this.#sinceMs.clear();
    return taken;
  }
}

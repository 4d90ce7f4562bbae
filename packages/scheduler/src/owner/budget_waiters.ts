/**
 * Calls that wait until a further portion of a shared budget is drawn.
 */
import { createFailure } from "@camphorlock/codes";
import type { CallerRequest, RequestId } from "@camphorlock/types";
import type { OwnerContext, RequestOrigin } from "./owner_context.ts";

/** A request to run a call. */
export type RunCallRequest = Extract<CallerRequest, { kind: "run_call" }>;

/** A waiting request and the start of its wait. */
interface WaitingRequest {
  readonly origin: RequestOrigin;
  readonly request: RunCallRequest;
  readonly sinceMs: number;
}

/** The calls of one shard that wait for a draw. */
export class BudgetWaiters {
  readonly #context: OwnerContext;
  readonly #waiting = new Map<RequestId, WaitingRequest>();
  /** Start of each request's wait; kept while the request is retried. */
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
    const detail = "timed out waiting for a portion of the shared budget";
    const failure = createFailure(
      "PlatformUnavailable",
      detail,
      budgetTimeoutMs,
    );
    this.#context.confirm(() => this.#context.refuse(origin, failure));
  }

  /** Removes and returns every request, for a retry. */
  removeAll(): readonly WaitingRequest[] {
    const removed = [...this.#waiting.values()];
    this.#waiting.clear();
    if (removed.length === 0) this.#sinceMs.clear();
    return removed;
  }
}

/**
 * The requests that wait for the text and outcome of a call.
 *
 * Several requests may wait for one call: repeats under the same idempotency
 * key join it. Each gets the text from its own offset on, then the outcome.
 */
import type { CallId, CallOutcome, RequestId } from "@camphorlock/types";
import type { OwnerContext, RequestOrigin } from "./owner_context.ts";

/** A request and the offset up to which it has been sent the text. */
interface Waiter {
  readonly origin: RequestOrigin;
  sentThrough: number;
}

/** All waiting requests of one shard, by call. */
export class Waiters {
  readonly #context: OwnerContext;
  readonly #byCall = new Map<CallId, Map<RequestId, Waiter>>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Adds a request, or sets the offset of one that already waits. */
  add(callId: CallId, origin: RequestOrigin, fromOffset: number): void {
    let waiters = this.#byCall.get(callId);
    if (waiters === undefined) {
      waiters = new Map();
      this.#byCall.set(callId, waiters);
    }
    waiters.set(origin.requestId, { origin, sentThrough: fromOffset });
  }

  /** Removes a request whose caller disconnected. The call continues. */
  remove(requestId: RequestId): void {
    for (const waiters of this.#byCall.values()) waiters.delete(requestId);
  }

  /** Sends each waiter the part of the text that it hasn't been sent. */
  sendText(callId: CallId, text: string): void {
    for (const waiter of this.#byCall.get(callId)?.values() ?? []) {
      const offset = waiter.sentThrough;
      if (offset >= text.length) continue;
      const part = text.slice(offset);
      waiter.sentThrough = text.length;
      this.#context.sendResponse(waiter.origin, {
        kind: "text",
        callId,
        offset,
        text: part,
      });
    }
  }

  /** Sends the outcome to every waiter of the call and removes them. */
  sendOutcome(callId: CallId, outcome: CallOutcome): void {
    const waiters = this.#byCall.get(callId);
    this.#byCall.delete(callId);
    for (const waiter of waiters?.values() ?? []) {
      this.#context.sendResponse(waiter.origin, {
        kind: "outcome",
        callId,
        outcome,
      });
    }
  }
}

/**
 * The role's requests in flight to the platform, with the purpose of each.
 */
import type {
  Effect,
  PlatformRequest,
  PlatformToken,
} from "@camphorlock/types";

/** The part of the role that handles the response. */
export type CallPurpose = "reader" | "proposal" | "watch" | "trim";

/** A request without a response for this long is treated as lost. */
export const CALL_TIMEOUT_MS = 10_000;

/** A watch without a response for this long is renewed. */
export const WATCH_TIMEOUT_MS = 60_000;

interface CallInFlight {
  readonly purpose: CallPurpose;
  readonly deadlineMs: number;
}

/** The requests in flight, by number. */
export class PlatformCalls {
  #lastNumber = 0;
  readonly #inFlight = new Map<number, CallInFlight>();

  /** Builds the effect that sends a request, and records its purpose. */
  send(
    request: PlatformRequest,
    options: { readonly purpose: CallPurpose; readonly nowMs: number },
  ): Effect {
    this.#lastNumber += 1;
    const isWatch = options.purpose === "watch";
    const timeoutMs = isWatch ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS;
    this.#inFlight.set(this.#lastNumber, {
      purpose: options.purpose,
      deadlineMs: options.nowMs + timeoutMs,
    });
    const token = { role: "configuration", number: this.#lastNumber } as const;
    return { kind: "call_platform", token, request };
  }

  /** Removes a completed request. Returns its purpose unless it timed out. */
  takePurpose(token: PlatformToken): CallPurpose | undefined {
    const call = this.#inFlight.get(token.number);
    this.#inFlight.delete(token.number);
    return call?.purpose;
  }

  /** Removes the requests that have timed out, and returns their purposes. */
  takeTimedOutPurposes(nowMs: number): readonly CallPurpose[] {
    const purposes: CallPurpose[] = [];
    for (const [number, call] of this.#inFlight) {
      if (call.deadlineMs > nowMs) continue;
      this.#inFlight.delete(number);
      purposes.push(call.purpose);
    }
    return purposes;
  }
}

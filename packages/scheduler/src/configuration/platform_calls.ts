/**
 * The role's open requests to the platform, with the purpose of each.
 */
import type {
  Effect,
  PlatformRequest,
  PlatformToken,
} from "@camphorlock/types";

/** The part of the role that an answer goes to. */
export type CallPurpose = "reader" | "proposal" | "watch" | "trim";

/** A request without an answer for this long is treated as lost. */
export const CALL_TIMEOUT_MS = 10_000;

/** A watch without an answer for this long is renewed. */
export const WATCH_TIMEOUT_MS = 60_000;

interface OpenCall {
  readonly purpose: CallPurpose;
  readonly deadlineMs: number;
}

/** Open requests by their number. */
export class PlatformCalls {
  #number = 0;
  readonly #open = new Map<number, OpenCall>();

  /** Builds the effect that sends a request and remembers its purpose. */
  send(
    request: PlatformRequest,
    options: { readonly purpose: CallPurpose; readonly nowMs: number },
  ): Effect {
    this.#number += 1;
    const isWatch = options.purpose === "watch";
    const timeoutMs = isWatch ? WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS;
    this.#open.set(this.#number, {
      purpose: options.purpose,
      deadlineMs: options.nowMs + timeoutMs,
    });
    const token = { role: "configuration", number: this.#number } as const;
    return { kind: "call_platform", token, request };
  }

  /** Takes the purpose of an answered request; late answers have none. */
  take(token: PlatformToken): CallPurpose | undefined {
    const call = this.#open.get(token.number);
    this.#open.delete(token.number);
    return call?.purpose;
  }

  /** Takes the purposes of the requests that have timed out. */
  takeExpired(nowMs: number): readonly CallPurpose[] {
    const purposes: CallPurpose[] = [];
    for (const [number, call] of this.#open) {
      if (call.deadlineMs > nowMs) continue;
      this.#open.delete(number);
      purposes.push(call.purpose);
    }
    return purposes;
  }
}

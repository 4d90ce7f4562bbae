/**
 * The refusals of requests whose body isn't read to its end.
 */
import { checkNever } from "@camphorlock/types";
import { SMALL_BYTES } from "../decisions/byte_budget.ts";
import type { BodyReadResult } from "../exchange/caller_exchange.ts";
import type { Refusal } from "./refuse_request.ts";

/** Why a body isn't read to its end, though the caller is there. */
export type UnreadBody = Exclude<
  BodyReadResult["kind"],
  "complete" | "disconnected"
>;

/** A request whose body isn't read. */
export interface UnreadRequest {
  /** What its head holds in memory. */
  readonly headBytes: number;
  readonly maxBytes?: number;
}

/** Builds the refusal of a request whose body isn't read. */
export function buildBodyRefusal(
  kind: UnreadBody,
  { headBytes, maxBytes }: UnreadRequest,
): Refusal {
  switch (kind) {
    case "too_large":
      return { code: "BodyTooLarge", detail: `body exceeds ${maxBytes} bytes` };
    case "no_memory":
      return {
        code: "GatewayMemoryFull",
        detail: "other requests hold the memory for bodies; try again",
        isImmediate: headBytes > SMALL_BYTES,
      };
    case "too_slow":
      return {
        code: "BodyTooSlow",
        detail: "the body wasn't complete within the request's time",
      };
    default:
      return checkNever(kind);
  }
}

/** Builds the refusal of a stream to a caller that can't tell it was cut. */
export function buildVersionRefusal(httpVersion: string): Refusal {
  return {
    code: "HttpVersionUnsupported",
    detail: `HTTP/${httpVersion} can't mark the end of a stream; send HTTP/1.1`,
  };
}

/**
 * Decodes the response of an engine to an order.
 */
import type { TargetOrderResult } from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import { type BufferedResponse, parseJson } from "@camphorlock/http";
import { z } from "zod";

const FENCED = z.object({ highest: z.int().nonnegative() });

/** Decodes the response; `failed` if the order may not have been done. */
export function decodeOrderResponse(
  response: BufferedResponse,
): TargetOrderResult {
  switch (response.kind) {
    case "not_sent":
    case "broken":
      return { kind: "failed", detail: response.detail };
    case "answered":
      return decodeStatus(response.status, response.body);
    default:
      return checkNever(response);
  }
}

function decodeStatus(status: number, body: Uint8Array): TargetOrderResult {
  const isDone = status >= 200 && status < 300;
  // A 404 means that there is nothing left to release, cancel or unload.
  if (isDone || status === 404) return { kind: "done" };
  const text = Buffer.from(body).toString("utf8");
  if (status !== 412) return { kind: "failed", detail: `${status} ${text}` };
  const fenced = FENCED.safeParse(parseJson(body));
  return fenced.success
    ? { kind: "fenced", highest: fenced.data.highest }
    : { kind: "failed", detail: "the response to a fenced order is malformed" };
}

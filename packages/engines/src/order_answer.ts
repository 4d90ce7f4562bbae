/**
 * Reads the answer of an engine to an order.
 */
import type { TargetOrderResult } from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import { parseJson, type WholeAnswer } from "@camphorlock/http";
import { z } from "zod";

const FENCED = z.object({ highest: z.int().nonnegative() });

/** Decodes the answer; `failed` when the order may not have been done. */
export function decodeOrderAnswer(answer: WholeAnswer): TargetOrderResult {
  switch (answer.kind) {
    case "not_sent":
    case "broken":
      return { kind: "failed", detail: answer.detail };
    case "answered":
      return decodeStatus(answer.status, answer.body);
    default:
      return checkNever(answer);
  }
}

function decodeStatus(status: number, body: Uint8Array): TargetOrderResult {
  const isDone = status >= 200 && status < 300;
  // What isn't there needs no release, cancel or unload.
  if (isDone || status === 404) return { kind: "done" };
  const text = Buffer.from(body).toString("utf8");
  if (status !== 412) return { kind: "failed", detail: `${status} ${text}` };
  const fenced = FENCED.safeParse(parseJson(body));
  return fenced.success
    ? { kind: "fenced", highest: fenced.data.highest }
    : { kind: "failed", detail: "the fencing answer is malformed" };
}

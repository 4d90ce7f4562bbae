/**
 * A caller's request that waits for its response, and the checks that a response
 * is complete and belongs to the request.
 */
import type {
  CallerRequest,
  CallerResponse,
  RequestId,
  ShardId,
  VmId,
} from "@camphorlock/types";
import { computeDigest } from "../owner/digest.ts";

/** A request between its arrival and the end of its response. */
export interface OpenRequest {
  readonly requestId: RequestId;
  readonly request: CallerRequest;
  readonly shard: ShardId;
  readonly mayBeRepeat: boolean;
  sentTo: VmId | undefined;
  sentAtMs: number;
  wasSent: boolean;
  /** Time of the last response, or of the request's arrival. */
  lastSeenMs: number;
  /** Number of characters of the response that the caller has received. */
  offset: number;
  /** Text relayed by this entry, starting at the offset that the caller stated. */
  relayed: string;
}

/** Creates the record of a request that has just arrived. */
export function createOpenRequest(
  input: {
    readonly requestId: RequestId;
    readonly request: CallerRequest;
    readonly mayBeRepeat: boolean;
  },
  context: { readonly shard: ShardId; readonly nowMs: number },
): OpenRequest {
  const { request } = input;
  return {
    ...input,
    shard: context.shard,
    sentTo: undefined,
    sentAtMs: context.nowMs,
    wasSent: false,
    lastSeenMs: context.nowMs,
    offset: request.kind === "run_call" ? request.fromOffset : 0,
    relayed: "",
  };
}

/** The result of applying a chunk of text. */
export type AppliedText =
  /** Text to relay, at its offset. */
  | { readonly kind: "new"; readonly offset: number; readonly text: string }
  /** All of the text was already relayed. */
  | { readonly kind: "known" }
  /** Text before the chunk is missing. */
  | { readonly kind: "gap" }
  /** The overlap differs from the relayed text. */
  | { readonly kind: "differs" };

/** Applies a chunk of text, which may overlap text that was already relayed. */
export function applyText(
  open: OpenRequest,
  chunk: Extract<CallerResponse, { kind: "text" }>,
): AppliedText {
  if (chunk.offset > open.offset) return { kind: "gap" };
  const overlap = open.offset - chunk.offset;
  if (chunk.text.length < overlap) return { kind: "known" };
  if (!isSameOverlap(open, chunk.text.slice(0, overlap))) {
    return { kind: "differs" };
  }
  const text = chunk.text.slice(overlap);
  if (text === "") return { kind: "known" };
  const { offset } = open;
  open.offset += text.length;
  open.relayed += text;
  return { kind: "new", offset, text };
}

/** Whether the overlapping part of a chunk equals the relayed text. */
function isSameOverlap(open: OpenRequest, overlap: string): boolean {
  const compared = Math.min(overlap.length, open.relayed.length);
  return compared === 0 || open.relayed.endsWith(overlap.slice(-compared));
}

/**
 * Checks that an outcome belongs to the request and matches the relayed text.
 *
 * Returns a description of the problem, or `undefined`.
 */
export function checkOutcome(
  open: OpenRequest,
  response: Extract<CallerResponse, { kind: "outcome" }>,
): string | undefined {
  const { request } = open;
  if (request.kind !== "run_call" && request.kind !== "show_call") {
    return `outcome received for a ${request.kind} request`;
  }
  if (!response.callId.startsWith(`${request.programId}.`)) {
    return `outcome doesn't belong to program ${request.programId}`;
  }
  const { outcome } = response;
  if (outcome.status !== "completed") return undefined;
  if (!outcome.attemptId.startsWith(`${response.callId}.`)) {
    return `outcome is not from an attempt of call ${response.callId}`;
  }
  if (computeDigest(outcome.text) !== outcome.digest) {
    return `text doesn't match its digest ${outcome.digest}`;
  }
  const start = open.offset - open.relayed.length;
  if (!outcome.text.startsWith(open.relayed, start)) {
    return `text differs from the text relayed after offset ${start}`;
  }
  return undefined;
}

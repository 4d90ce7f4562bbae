/**
 * A caller's request that waits for its answer, and the checks that the answer
 * is whole and its own.
 */
import type {
  CallerAnswer,
  CallerRequest,
  RequestId,
  ShardId,
  VmId,
} from "@camphorlock/types";
import { computeDigest } from "../owner/digest.ts";

/** A request between its arrival and the end of its answer. */
export interface OpenRequest {
  readonly requestId: RequestId;
  readonly request: CallerRequest;
  readonly shard: ShardId;
  readonly mayBeRepeat: boolean;
  sentTo: VmId | undefined;
  sentAtMs: number;
  wasSent: boolean;
  lastHeardMs: number;
  /** Characters of the answer that the caller has. */
  offset: number;
  /** Text relayed by this entry, from the caller's own offset on. */
  relayed: string;
}

/** Creates the record of a request that has just arrived. */
export function createOpenRequest(
  input: {
    readonly requestId: RequestId;
    readonly request: CallerRequest;
    readonly mayBeRepeat: boolean;
  },
  place: { readonly shard: ShardId; readonly nowMs: number },
): OpenRequest {
  const { request } = input;
  return {
    ...input,
    shard: place.shard,
    sentTo: undefined,
    sentAtMs: place.nowMs,
    wasSent: false,
    lastHeardMs: place.nowMs,
    offset: request.kind === "run_call" ? request.fromOffset : 0,
    relayed: "",
  };
}

/** What a piece of text means for the caller. */
export type AppliedText =
  | { readonly kind: "new"; readonly offset: number; readonly text: string }
  | { readonly kind: "known" }
  | { readonly kind: "gap" }
  | { readonly kind: "differs" };

/** Adds a piece of text, which may overlap what was relayed before. */
export function applyText(
  open: OpenRequest,
  answer: Extract<CallerAnswer, { kind: "text" }>,
): AppliedText {
  if (answer.offset > open.offset) return { kind: "gap" };
  const overlap = open.offset - answer.offset;
  if (answer.text.length < overlap) return { kind: "known" };
  if (!isSameOverlap(open, answer.text.slice(0, overlap))) {
    return { kind: "differs" };
  }
  const text = answer.text.slice(overlap);
  if (text === "") return { kind: "known" };
  const { offset } = open;
  open.offset += text.length;
  open.relayed += text;
  return { kind: "new", offset, text };
}

/** Compares the part of a piece that was relayed before. */
function isSameOverlap(open: OpenRequest, overlap: string): boolean {
  const known = Math.min(overlap.length, open.relayed.length);
  return known === 0 || open.relayed.endsWith(overlap.slice(-known));
}

/**
 * Checks that an outcome belongs to the request and fits what was relayed.
 *
 * Returns what is wrong, or `undefined`.
 */
export function checkOutcome(
  open: OpenRequest,
  answer: Extract<CallerAnswer, { kind: "outcome" }>,
): string | undefined {
  const { request } = open;
  if (request.kind !== "run_call" && request.kind !== "show_call") {
    return "an outcome for a request without a call";
  }
  if (!answer.callId.startsWith(`${request.programId}.`)) {
    return "an outcome of another program";
  }
  const { outcome } = answer;
  if (outcome.status !== "completed") return undefined;
  if (!outcome.attemptId.startsWith(`${answer.callId}.`)) {
    return "an outcome of another attempt";
  }
  if (computeDigest(outcome.text) !== outcome.digest) {
    return "the text doesn't match its digest";
  }
  const start = open.offset - open.relayed.length;
  if (!outcome.text.startsWith(open.relayed, start)) {
    return "the text differs from what was streamed";
  }
  return undefined;
}

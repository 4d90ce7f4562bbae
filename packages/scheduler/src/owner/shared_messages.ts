/**
 * Messages that a call shares with an earlier call of its program.
 *
 * Chat callers send the whole history with each turn. The ledger stores only
 * the messages after those that the previous call and its answer already hold,
 * so that a program's ledger grows with its history, not with its square.
 */
import type { Call, CallId, ChatMessage, ModelCall } from "@camphorlock/types";
import type { CallState, ProgramState } from "./program_state.ts";

/** The part of a call's messages that an earlier call holds. */
export interface SharedMessages {
  readonly callId: CallId;
  readonly count: number;
}

/** A call as stored: without the messages that it shares. */
export interface StoredCall {
  readonly call: Call;
  readonly shared?: SharedMessages;
}

/** Removes from a call what the program's latest model call holds. */
export function buildStoredCall(
  program: ProgramState,
  call: Call,
): StoredCall {
  const base = program.latestModelCall;
  if (call.kind !== "model" || base === undefined) return { call };
  const count = countShared(listKnownMessages(base), call.messages);
  if (count === 0) return { call };
  const messages = call.messages.slice(count);
  return {
    call: { ...call, messages },
    shared: { callId: base.callId, count },
  };
}

/** Puts the shared messages of a stored call back. */
export function mergeStoredCall(
  program: ProgramState,
  stored: StoredCall,
): Call {
  const { call, shared } = stored;
  if (call.kind !== "model" || shared === undefined) return call;
  const base = program.callsById.get(shared.callId);
  if (base === undefined) return call;
  const known = listKnownMessages(base).slice(0, shared.count);
  return { ...call, messages: [...known, ...call.messages] };
}

/** Lists a call's messages and its answer, where it has one. */
function listKnownMessages(state: CallState): readonly ChatMessage[] {
  const { messages } = state.call as ModelCall;
  if (state.outcome?.status !== "completed") return messages;
  return [...messages, { role: "assistant", content: state.outcome.text }];
}

function countShared(
  known: readonly ChatMessage[],
  messages: readonly ChatMessage[],
): number {
  let count = 0;
  while (count < known.length && isSame(known[count], messages[count])) {
    count += 1;
  }
  return count;
}

function isSame(left?: ChatMessage, right?: ChatMessage): boolean {
  return left !== undefined && right !== undefined &&
    left.role === right.role && left.content === right.content;
}

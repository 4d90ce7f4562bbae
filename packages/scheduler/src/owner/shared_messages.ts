/**
 * Messages that a call shares with an earlier call of its program.
 *
 * Chat callers send the full history with each turn. The ledger stores only
 * the messages after those that the previous call and its response contain, so
 * that a program's ledger grows linearly with its history, not quadratically.
 */
import type { Call, CallId, ChatMessage, ModelCall } from "@camphorlock/types";
import type { CallState, ProgramState } from "./program_state.ts";

/** The number of leading messages that a call shares with an earlier call. */
export interface SharedMessages {
  readonly callId: CallId;
  readonly count: number;
}

/** A call as stored, without its shared messages. */
export interface StoredCall {
  readonly call: Call;
  readonly shared?: SharedMessages;
}

/** Removes the messages that the program's latest model call contains. */
export function buildStoredCall(
  program: ProgramState,
  call: Call,
): StoredCall {
  const base = program.latestModelCall;
  if (call.kind !== "model" || base === undefined) return { call };
  const count = countShared(listConversation(base), call.messages);
  if (count === 0) return { call };
  const messages = call.messages.slice(count);
  return {
    call: { ...call, messages },
    shared: { callId: base.callId, count },
  };
}

/** Restores the shared messages of a stored call. */
export function mergeStoredCall(
  program: ProgramState,
  stored: StoredCall,
): Call {
  const { call, shared } = stored;
  if (call.kind !== "model" || shared === undefined) return call;
  const base = program.callsById.get(shared.callId);
  if (base === undefined) return call;
  const conversation = listConversation(base).slice(0, shared.count);
  return { ...call, messages: [...conversation, ...call.messages] };
}

/** Lists a call's messages and its response, if it has completed. */
function listConversation(state: CallState): readonly ChatMessage[] {
  const { messages } = state.call as ModelCall;
  if (state.outcome?.status !== "completed") return messages;
  return [...messages, { role: "assistant", content: state.outcome.text }];
}

function countShared(
  conversation: readonly ChatMessage[],
  messages: readonly ChatMessage[],
): number {
  let count = 0;
  while (
    count < conversation.length &&
    isSameMessage(conversation[count], messages[count])
  ) {
    count += 1;
  }
  return count;
}

function isSameMessage(left?: ChatMessage, right?: ChatMessage): boolean {
  return left !== undefined && right !== undefined &&
    left.role === right.role && left.content === right.content;
}

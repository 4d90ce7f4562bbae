/**
 * The chat-completions format, for unmodified clients of that API. The request
 * header `Camphorlock-Program` names the program.
 */
import type { CallId, CallOutcome } from "@camphorlock/types";
import { renderFailure, renderUsage } from "./respond.ts";
import type { StreamEvent } from "./event_stream.ts";
import type { StreamFormat } from "./submit.ts";

const MS_PER_SECOND = 1_000;
const STREAM_END: StreamEvent = { data: "[DONE]" };

/** Renders a completed call as a chat completion. */
export function renderChatCompletion(
  model: string,
  callId: CallId,
  outcome: Extract<CallOutcome, { status: "completed" }>,
): object {
  return {
    ...renderCommonFields(model, callId, "chat.completion"),
    choices: [{
      index: 0,
      message: { role: "assistant", content: outcome.text },
      finish_reason: "stop",
    }],
    usage: renderUsage(outcome),
  };
}

/** Creates the stream format of a chat completion. */
export function createChatFormat(model: string): StreamFormat {
  const formatChunk = (callId: CallId, choice: object): StreamEvent => {
    const head = renderCommonFields(model, callId, "chat.completion.chunk");
    const choices = [{ index: 0, ...choice }];
    return { data: JSON.stringify({ ...head, choices }) };
  };
  return {
    formatText(callId, offset, text): StreamEvent[] {
      const delta = offset === 0
        ? { role: "assistant", content: text }
        : { content: text };
      return [formatChunk(callId, { delta, finish_reason: null })];
    },
    formatOutcome(callId, outcome): StreamEvent[] {
      if (outcome.status !== "completed") {
        const failure = renderFailure(outcome);
        const data = JSON.stringify({ ...failure, status: outcome.status });
        return [{ data }, STREAM_END];
      }
      const last = formatChunk(callId, { delta: {}, finish_reason: "stop" });
      return [last, STREAM_END];
    },
    formatFailure(failure): StreamEvent[] {
      return [{ data: JSON.stringify(renderFailure(failure)) }, STREAM_END];
    },
  };
}

function renderCommonFields(
  model: string,
  callId: CallId,
  object: string,
): object {
  const created = Math.floor(Date.now() / MS_PER_SECOND);
  return { id: callId, object, created, model };
}

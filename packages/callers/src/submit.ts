/**
 * Brings a request to the node and its answers back to an HTTP response.
 */
import type {
  CallerAnswer,
  CallerRequest,
  CallId,
  CallOutcome,
  FailureView,
} from "@camphorlock/types";
import type { Context } from "hono";
import { openEventStream, type StreamEvent } from "./event_stream.ts";
import type { CallerPort } from "./port.ts";
import { renderFailure, renderOutcome } from "./respond.ts";

/** An answer that ends a request. */
export type FinalAnswer = Exclude<CallerAnswer, { kind: "text" }>;

/** A request and whether the caller may have sent it before. */
export interface CallerSubmission {
  readonly request: CallerRequest;
  readonly mayBeRepeat: boolean;
}

/** Submits a request and waits for its last answer. */
export function runWhole(
  port: CallerPort,
  submission: CallerSubmission,
): Promise<FinalAnswer> {
  return new Promise((resolve) => {
    port.runRequest(submission.request, {
      mayBeRepeat: submission.mayBeRepeat,
      onAnswer(answer): void {
        if (answer.kind !== "text") resolve(answer);
      },
    });
  });
}

/** How the parts of a streamed answer are written. */
export interface StreamFormat {
  formatText(callId: CallId, offset: number, text: string): StreamEvent[];
  formatOutcome(callId: CallId, outcome: CallOutcome): StreamEvent[];
  formatFailure(failure: FailureView): StreamEvent[];
}

/** The stream format of `/v1/programs/{id}/calls`. */
export const CALL_STREAM_FORMAT: StreamFormat = {
  formatText(callId, offset, text): StreamEvent[] {
    const id = String(offset + text.length);
    const data = JSON.stringify({ call: callId, offset, text });
    return [{ event: "text", data, id }];
  },
  formatOutcome(callId, outcome): StreamEvent[] {
    const data = JSON.stringify(renderOutcome(callId, outcome));
    return [{ event: "end", data }];
  },
  formatFailure(failure): StreamEvent[] {
    return [{ event: "error", data: JSON.stringify(renderFailure(failure)) }];
  },
};

/** Submits a request and streams its answers as server-sent events. */
export function runStreamed(
  context: Context,
  port: CallerPort,
  options: {
    readonly submission: CallerSubmission;
    readonly format: StreamFormat;
  },
): Response {
  const { submission, format } = options;
  const { stream, response } = openEventStream(context, {
    formatAnswer: (answer) => formatAnswer(answer, format),
    onGone: () => submitted.cancel(),
  });
  const submitted = port.runRequest(submission.request, {
    mayBeRepeat: submission.mayBeRepeat,
    onAnswer: (answer) => stream.add(answer),
  });
  return response;
}

function formatAnswer(
  answer: CallerAnswer,
  format: StreamFormat,
): StreamEvent[] {
  switch (answer.kind) {
    case "text":
      return format.formatText(answer.callId, answer.offset, answer.text);
    case "outcome":
      return format.formatOutcome(answer.callId, answer.outcome);
    case "refused":
      return format.formatFailure(answer.failure);
    case "running":
    case "program":
    case "history":
      return [];
  }
}

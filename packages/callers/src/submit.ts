/**
 * Submits requests to the node and returns their responses over HTTP.
 */
import type {
  CallerRequest,
  CallerResponse,
  CallId,
  CallOutcome,
  FailureView,
} from "@camphorlock/types";
import type { Context } from "hono";
import { openEventStream, type StreamEvent } from "./event_stream.ts";
import type { CallerPort } from "./port.ts";
import { renderFailure, renderOutcome } from "./respond.ts";

/** The last part of a response, which ends the request. */
export type FinalPart = Exclude<CallerResponse, { kind: "text" }>;

/** A request and whether the caller may have sent it before. */
export interface CallerSubmission {
  readonly request: CallerRequest;
  readonly mayBeRepeat: boolean;
}

/** Submits a request and waits for the last part of its response. */
export function runBuffered(
  port: CallerPort,
  submission: CallerSubmission,
): Promise<FinalPart> {
  return new Promise((resolve) => {
    port.runRequest(submission.request, {
      mayBeRepeat: submission.mayBeRepeat,
      onResponsePart(part): void {
        if (part.kind !== "text") resolve(part);
      },
    });
  });
}

/** Formats the parts of a streamed response as server-sent events. */
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

/** Submits a request and streams its response as server-sent events. */
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
    formatPart: (part) => formatPart(part, format),
    onDisconnect: () => submitted.cancel(),
  });
  const submitted = port.runRequest(submission.request, {
    mayBeRepeat: submission.mayBeRepeat,
    onResponsePart: (part) => stream.add(part),
  });
  return response;
}

function formatPart(
  part: CallerResponse,
  format: StreamFormat,
): StreamEvent[] {
  switch (part.kind) {
    case "text":
      return format.formatText(part.callId, part.offset, part.text);
    case "outcome":
      return format.formatOutcome(part.callId, part.outcome);
    case "refused":
      return format.formatFailure(part.failure);
    case "running":
    case "program":
    case "history":
      return [];
  }
}

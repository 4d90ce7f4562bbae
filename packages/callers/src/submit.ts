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
import { type SSEStreamingApi, streamSSE } from "hono/streaming";
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

/** One server-sent event. */
export interface StreamEvent {
  readonly event?: string;
  readonly data: string;
  readonly id?: string;
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
  return streamSSE(context, async (stream) => {
    const answers = new AnswerQueue();
    const submitted = port.runRequest(options.submission.request, {
      mayBeRepeat: options.submission.mayBeRepeat,
      onAnswer: (answer) => answers.add(answer),
    });
    stream.onAbort(() => {
      submitted.cancel();
      answers.close();
    });
    for await (const answer of answers) {
      await writeAnswer(stream, answer, options.format);
      if (answer.kind !== "text") return;
    }
  });
}

async function writeAnswer(
  stream: SSEStreamingApi,
  answer: CallerAnswer,
  format: StreamFormat,
): Promise<void> {
  for (const event of formatAnswer(answer, format)) {
    await stream.writeSSE(event);
  }
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

/** Answers that arrived and weren't written yet. */
class AnswerQueue {
  readonly #answers: CallerAnswer[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  add(answer: CallerAnswer): void {
    const last = this.#answers.at(-1);
    if (last?.kind === "text" && answer.kind === "text") {
      this.#answers.pop();
      this.#answers.push({ ...last, text: last.text + answer.text });
    } else {
      this.#answers.push(answer);
    }
    this.#wake?.();
  }

  close(): void {
    this.#isClosed = true;
    this.#wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<CallerAnswer> {
    while (!this.#isClosed) {
      const answer = this.#answers.shift();
      if (answer !== undefined) yield answer;
      else await this.#waitForMore();
    }
  }

  #waitForMore(): Promise<void> {
    return new Promise((resolve) => {
      this.#wake = resolve;
    });
  }
}

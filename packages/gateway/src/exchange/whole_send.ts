/**
 * Sends a request to a target and reads its answer whole before the caller
 * gets any of it, so that a send without a whole answer can be followed by
 * another.
 */
import type { PeerConnection, PeerRequest } from "@camphorlock/http/exchange";
import { startWhole } from "@camphorlock/http/exchange";
import type { FailedSend } from "../decisions/plan_next_send.ts";
import type { AnswerHeaders, RequestCodec } from "../ports.ts";

/** Largest answer that is held; several at once fit a small VM's memory. */
const MAX_ANSWER_BYTES = 4 * 1_024 * 1_024;

/** A target's whole answer. */
export interface WholeTargetAnswer {
  readonly kind: "answered";
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly body: Uint8Array;
}

/** What a send brought. */
export type WholeSendEnd = WholeTargetAnswer | FailedSend;

/** A send in progress. */
export interface RunningSend<End> {
  readonly end: Promise<End>;
  cancel(): void;
}

/** How a target's answers are read. */
export interface SendOptions {
  readonly codec: RequestCodec;
  readonly requestId: string;
  readonly timeoutMs: number;
}

/** Starts a send. */
export function startWholeSend(
  connection: PeerConnection,
  request: PeerRequest,
  options: SendOptions,
): RunningSend<WholeSendEnd> {
  const running = startWhole(connection, request, {
    totalTimeoutMs: options.timeoutMs,
    maxBytes: MAX_ANSWER_BYTES,
  });
  return {
    cancel: () => running.cancel(),
    end: running.answer.then((answer) => {
      switch (answer.kind) {
        case "not_sent":
          return { kind: "unreachable", detail: answer.detail };
        case "broken":
          return answer;
        case "answered":
          return checkAnswer(answer, options);
      }
    }),
  };
}

/** Checks that a whole answer is the target's own to this request. */
export function checkAnswer(
  answer: WholeTargetAnswer,
  { codec, requestId }: SendOptions,
): WholeSendEnd {
  const { status, headers } = answer;
  const marks = codec.decodeAnswer(status, headers);
  if (marks.requestId !== undefined && marks.requestId !== requestId) {
    const detail = `answer to another request, ${marks.requestId}`;
    return { kind: "broken", detail };
  }
  if (marks.isNotRun) return { kind: "not_run", detail: `status ${status}` };
  if (marks.impliesNotRun) {
    const detail = `status ${status}, but the target doesn't say "not run"`;
    return { kind: "broken", detail };
  }
  if (!marks.hasSignature) {
    return { kind: "broken", detail: `status ${status} without a signature` };
  }
  if (headers["content-encoding"] !== undefined) {
    return { kind: "broken", detail: "the body is encoded" };
  }
  return answer;
}

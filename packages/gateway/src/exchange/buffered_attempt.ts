/**
 * One attempt whose response is buffered: no byte reaches the caller before the
 * response is complete, so that an attempt without a complete response can be
 * followed by another.
 */
import type { PeerConnection, PeerRequest } from "@camphorlock/http/exchange";
import { startBufferedExchange } from "@camphorlock/http/exchange";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { FailedAttempt } from "../decisions/next_step.ts";
import type {
  DecodedResponse,
  RequestCodec,
  ResponseHeaders,
} from "../ports.ts";

/** Largest buffered response; several at once fit in a small VM's memory. */
const MAX_RESPONSE_BYTES = 4 * 1_024 * 1_024;

/** A target's complete response. */
export interface TargetResponse {
  readonly kind: "answered";
  readonly status: number;
  readonly headers: ResponseHeaders;
  /** The body, in the pieces in which it's held. */
  readonly pieces: readonly Uint8Array[];
  /** Whether the connection carried an earlier exchange. */
  readonly isReused: boolean;
}

/** The result of an attempt. */
export type BufferedAttemptResult = TargetResponse | FailedAttempt;

/** An attempt in progress. */
export interface RunningAttempt<Result> {
  readonly result: Promise<Result>;
  cancel(): void;
}

/** How a target's response is read. */
export interface AttemptOptions {
  readonly codec: RequestCodec;
  readonly requestId: string;
  readonly timeoutMs: number;
  /** What the process holds for the exchange. */
  readonly share: ByteShare;
  /** Records what the target states of itself in a response to the request. */
  readonly recordStatement: (decoded: DecodedResponse) => void;
}

/** Starts a buffered attempt. */
export function startBuffered(
  connection: PeerConnection,
  request: PeerRequest,
  options: AttemptOptions,
): RunningAttempt<BufferedAttemptResult> {
  const exchange = startBufferedExchange(connection, request, {
    totalTimeoutMs: options.timeoutMs,
    maxBytes: MAX_RESPONSE_BYTES,
    reserve: (bytes, handleReserved) =>
      options.share.wait(bytes, handleReserved),
    // The caller has left; the request still runs to its end.
    isDropping: () => options.share.isClosed,
  });
  options.share.onClose(() => exchange.resume());
  return {
    cancel: () => exchange.cancel(),
    result: exchange.answer.then((response) => {
      switch (response.kind) {
        case "not_sent":
          return { kind: "unreachable", detail: response.detail };
        case "broken":
          return response;
        case "answered":
          return checkResponse(response, options);
      }
    }),
  };
}

/** Checks that a complete response is the target's own, to this request. */
export function checkResponse(
  response: TargetResponse,
  { codec, requestId, recordStatement }: AttemptOptions,
): BufferedAttemptResult {
  const { status, headers, isReused } = response;
  const decoded = codec.decodeResponse(status, headers);
  if (decoded.requestId !== undefined && decoded.requestId !== requestId) {
    const detail = `response to another request, ${decoded.requestId}`;
    return { kind: "broken", detail };
  }
  // It may be an earlier response of the connection, sent once more.
  if (decoded.requestId === undefined && isReused) {
    const detail = `status ${status} on a reused connection, without an id`;
    return { kind: "broken", detail };
  }
  recordStatement(decoded);
  if (decoded.isNotRun) {
    const where = isReused ? "reused" : "new";
    const detail = `status ${status} on a ${where} connection`;
    return { kind: "not_run", detail };
  }
  if (decoded.impliesNotRun) {
    const detail =
      `status ${status} implies "not run", but the target doesn't state it`;
    return { kind: "broken", detail };
  }
  if (!decoded.hasSignature) {
    return { kind: "broken", detail: `status ${status} without a signature` };
  }
  if (headers["content-encoding"] !== undefined) {
    return { kind: "broken", detail: "the response has a content-encoding" };
  }
  return response;
}

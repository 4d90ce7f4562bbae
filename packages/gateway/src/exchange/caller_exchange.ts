/**
 * The caller's side of one request: reads the body, sends the response, and
 * reports when the caller disconnects.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResultCodeDefinition } from "@camphorlock/codes/result_codes";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { CallerWait, CallerWaits } from "../decisions/caller_waits.ts";
import { RequestBody } from "./request_body.ts";
import { writeBody } from "./response_writer.ts";

const MS_PER_SECOND = 1_000;
const STATUS_UNAVAILABLE = 503;
/**
 * Largest body without a marked end: the kernel takes it in one write, so that
 * the end of this process can't cut it. The default send buffer has 16 KiB.
 */
const MAX_UNMARKED_BYTES = 8_192;
/**
 * How much of a refused request is read while the process is overloaded: what is
 * read and dropped has to be collected, and many large bodies at once would take
 * more than the process may use until then.
 */
const OVERLOAD_DROP_BYTES = 262_144;

/** The result of reading a request body. */
export type BodyReadResult =
  | { readonly kind: "complete"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  /** The process holds too much else. */
  | { readonly kind: "no_memory" }
  | { readonly kind: "too_slow" }
  | { readonly kind: "disconnected" };

/** How a request body is read. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
}

/** The head of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
}

/** An error response that the gateway itself produces. */
export interface ErrorResponse {
  readonly code: ResultCodeDefinition;
  readonly detail: string;
  readonly retryAfterMs?: number | undefined;
  /** Whether the rest of the request isn't awaited, since it holds too much. */
  readonly isImmediate?: boolean;
}

/** One request of a caller and its response. */
export class CallerExchange {
  readonly request: IncomingMessage;
  /** What the process holds for this exchange. */
  readonly share: ByteShare;
  /** Settled once no target works on the request, also for a caller that left. */
  targetEnded: Promise<void> = Promise.resolve();
  readonly #response: ServerResponse;
  readonly #waits: CallerWaits;
  readonly #streamWaits: CallerWaits;
  /** While the caller doesn't read the events that it was sent. */
  #streamWait: CallerWait | undefined;
  /** Whether the connection closes after the response. */
  readonly #isClosing: () => boolean;
  readonly #stopParsing: (maxBytes?: number) => void;
  #handleDisconnect: () => void = () => {};
  #handleDrain: () => void = () => {};
  #isDisconnected = false;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    { share, waits, streamWaits, isClosing, stopParsing }: {
      readonly share: ByteShare;
      readonly waits: CallerWaits;
      readonly streamWaits: CallerWaits;
      readonly isClosing: () => boolean;
      /** Drops what the connection still sends, read up to some bytes. */
      readonly stopParsing: (maxBytes?: number) => void;
    },
  ) {
    this.request = request;
    this.share = share;
    this.#waits = waits;
    this.#streamWaits = streamWaits;
    this.#response = response;
    this.#isClosing = isClosing;
    this.#stopParsing = stopParsing;
    response.on("close", () => this.recordClose());
    response.on("drain", () => {
      this.#endStreamWait();
      this.#handleDrain();
    });
    response.on("error", () => this.recordClose());
    request.on("error", () => this.recordClose());
  }

  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether the caller can tell a complete stream from one that was cut. */
  get canReadChunks(): boolean {
    const { httpVersionMajor, httpVersionMinor } = this.request;
    return httpVersionMajor > 1 || httpVersionMinor > 0;
  }

  /** Whether the status line and headers were sent. */
  get hasSentHead(): boolean {
    return this.#response.headersSent;
  }

  /** Whether a streamed response has begun and not ended. */
  get hasOpenStream(): boolean {
    return this.#response.headersSent && !this.#response.writableEnded;
  }

  /** Calls back once if the caller disconnects before the response ends. */
  onDisconnect(handleDisconnect: () => void): void {
    this.#handleDisconnect = handleDisconnect;
    if (this.#isDisconnected) handleDisconnect();
  }

  /** Calls back whenever the response's write buffer has drained. */
  onDrain(handleDrain: () => void): void {
    this.#handleDrain = handleDrain;
  }

  /** Reads the complete body, as far as the process may hold it. */
  async readBody({ maxBytes, timeoutMs }: BodyLimits): Promise<BodyReadResult> {
    const { share } = this;
    const body = new RequestBody(this.request, { share, waits: this.#waits });
    const timer = setTimeout(() => body.end({ kind: "too_slow" }), timeoutMs);
    body.start(maxBytes);
    const result = await body.result;
    clearTimeout(timer);
    return result;
  }

  /**
   * Sends a buffered response of a target. A small one whose end the target
   * didn't mark is sent without a marked end, too: a target that fails may have
   * cut it by an orderly close.
   */
  sendResponse(
    { status, headers }: ResponseHead,
    pieces: readonly Uint8Array[],
    isDelimited: boolean,
  ): void {
    if (this.#isDisconnected) return;
    this.#setConnectionHeader();
    const bytes = pieces.reduce((sum, piece) => sum + piece.length, 0);
    const isMarked = isDelimited || bytes > MAX_UNMARKED_BYTES;
    if (!isMarked) {
      this.#response.setHeader("connection", "close");
      this.#response.useChunkedEncodingByDefault = false;
    }
    const hasLength = isMarked && hasBody(this.request.method, status);
    const length = hasLength ? { "content-length": String(bytes) } : {};
    this.#response.writeHead(status, { ...headers, ...length });
    writeBody(this.#response, pieces, {
      share: this.share,
      waits: this.#waits,
    });
  }

  /**
   * Sends the status line and headers of a streamed response. It's chunked,
   * however the target frames it: the end of this process must not complete it.
   */
  openStream({ status, headers }: ResponseHead): void {
    if (this.#isDisconnected) return;
    this.#setConnectionHeader();
    this.#response.writeHead(status, headers);
  }

  /** Sends events; false if the buffer is full until `onDrain` calls back. */
  sendEvents(bytes: Uint8Array): boolean {
    if (this.#isDisconnected) return true;
    if (this.#response.write(bytes)) return true;
    this.#streamWait ??= this.#streamWaits.open(
      performance.now(),
      () => this.close(),
    );
    return false;
  }

  /** Ends a streamed response as complete. */
  endStream(): void {
    if (!this.#isDisconnected) this.#response.end();
  }

  /** Destroys the connection, so that a cut response doesn't look complete. */
  close(): void {
    this.#response.destroy();
  }

  /** Sends an error response of the gateway itself. */
  sendErrorResponse(error: ErrorResponse): void {
    if (this.#isDisconnected || this.#response.headersSent) return;
    const { code, name, httpStatus } = error.code;
    const body = JSON.stringify({ code, name, detail: error.detail });
    this.#setConnectionHeader();
    this.#response.writeHead(httpStatus, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
      ...(error.retryAfterMs === undefined ? {} : {
        "retry-after": String(error.retryAfterMs / MS_PER_SECOND),
      }),
    });
    this.#response.end(body);
    if (this.request.complete) return;
    if (error.isImmediate === true) this.#stopParsing(0);
    else if (httpStatus !== STATUS_UNAVAILABLE) this.#stopParsing();
    else this.#stopParsing(OVERLOAD_DROP_BYTES);
  }

  #endStreamWait(): void {
    this.#streamWait?.end();
    this.#streamWait = undefined;
  }

  #setConnectionHeader(): void {
    // The rest of an unread body would be parsed as the next request.
    const isUnread = !this.request.complete;
    if (isUnread || this.#isClosing()) {
      this.#response.setHeader("connection", "close");
    }
  }

  /** Records that the connection closed, or that the response has ended. */
  recordClose(): void {
    this.#endStreamWait();
    if (this.#isDisconnected || this.#response.writableFinished) return;
    this.#isDisconnected = true;
    this.#handleDisconnect();
  }
}

function hasBody(method: string | undefined, status: number): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

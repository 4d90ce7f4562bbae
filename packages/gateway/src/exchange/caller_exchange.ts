/**
 * The caller's side of one request: reads the body, sends the response, and
 * reports when the caller disconnects.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResultCodeDefinition } from "@camphorlock/codes/result_codes";

const MS_PER_SECOND = 1_000;

/** The result of reading a request body. */
export type BodyReadResult =
  | { readonly kind: "complete"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "disconnected" };

/** The head of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  /** Whether the end of the body is marked in the response itself. */
  readonly isDelimited: boolean;
}

/** An error response that the gateway itself produces. */
export interface ErrorResponse {
  readonly code: ResultCodeDefinition;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** One request of a caller and its response. */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly #response: ServerResponse;
  /** Whether the connection closes after the response. */
  readonly #isClosing: () => boolean;
  #handleDisconnect: () => void = () => {};
  #handleDrain: () => void = () => {};
  #isDisconnected = false;
  #isDelimited = true;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    isClosing: () => boolean,
  ) {
    this.request = request;
    this.#response = response;
    this.#isClosing = isClosing;
    response.on("close", () => this.#recordDisconnect());
    response.on("drain", () => this.#handleDrain());
    response.on("error", () => this.#recordDisconnect());
    request.on("error", () => this.#recordDisconnect());
  }

  get isDisconnected(): boolean {
    return this.#isDisconnected;
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

  /** Reads the complete body, up to `maxBytes`. */
  readBody(maxBytes: number): Promise<BodyReadResult> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      this.request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes) resolve({ kind: "too_large" });
        else chunks.push(chunk);
      });
      this.request.on(
        "end",
        () => resolve({ kind: "complete", body: Buffer.concat(chunks) }),
      );
      this.request.on("close", () => resolve({ kind: "disconnected" }));
    });
  }

  /** Sends a buffered response of a target. */
  sendResponse(head: ResponseHead, body: Uint8Array): void {
    if (this.#isDisconnected) return;
    const { status, headers } = head;
    this.#setFraming(head);
    const hasLength = head.isDelimited &&
      hasBody(this.request.method, status);
    const length = hasLength ? { "content-length": String(body.length) } : {};
    this.#response.writeHead(status, { ...headers, ...length });
    this.#response.end(body);
  }

  /** Sends the status line and headers of a streamed response. */
  openStream(head: ResponseHead): void {
    if (this.#isDisconnected) return;
    this.#setFraming(head);
    this.#response.writeHead(head.status, head.headers);
  }

  /** Sends events; false if the buffer is full until `onDrain` calls back. */
  sendEvents(bytes: Uint8Array): boolean {
    if (this.#isDisconnected) return true;
    return this.#response.write(bytes);
  }

  /** Ends a streamed response as complete. */
  endStream(): void {
    if (!this.#isDisconnected) this.#response.end();
  }

  /** Destroys the connection, so that a cut response doesn't look complete. */
  close(): void {
    // An orderly end would complete a response without a length.
    if (!this.#isDelimited) this.#response.socket?.resetAndDestroy();
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
  }

  /** Marks the end of the body only if the target's response does. */
  #setFraming({ isDelimited }: ResponseHead): void {
    this.#isDelimited = isDelimited;
    this.#setConnectionHeader();
    if (isDelimited) return;
    this.#response.setHeader("connection", "close");
    this.#response.useChunkedEncodingByDefault = false;
  }

  #setConnectionHeader(): void {
    // The rest of an unread body would be parsed as the next request.
    const isUnread = !this.request.complete;
    if (isUnread || this.#isClosing()) {
      this.#response.setHeader("connection", "close");
    }
  }

  #recordDisconnect(): void {
    if (this.#isDisconnected || this.#response.writableFinished) return;
    this.#isDisconnected = true;
    this.#handleDisconnect();
  }
}

function hasBody(method: string | undefined, status: number): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

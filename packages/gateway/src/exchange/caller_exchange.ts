/**
 * The caller's side of one request: reads its body, sends the answer, and
 * tells when the caller has left.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ResultCodeData } from "@camphorlock/codes/result_codes";

const MS_PER_SECOND = 1_000;

/** What reading a body gave. */
export type BodyRead =
  | { readonly kind: "whole"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "gone" };

/** An answer of the gateway's own. */
export interface OwnAnswer {
  readonly code: ResultCodeData;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** One request of a caller. */
export class CallerExchange {
  readonly request: IncomingMessage;
  readonly #response: ServerResponse;
  /** Whether the connection closes after the answer. */
  readonly #isClosing: () => boolean;
  #handleLeft: () => void = () => {};
  #handleDrain: () => void = () => {};
  #hasLeft = false;

  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    isClosing: () => boolean,
  ) {
    this.request = request;
    this.#response = response;
    this.#isClosing = isClosing;
    response.on("close", () => this.#recordLeft());
    response.on("drain", () => this.#handleDrain());
    response.on("error", () => this.#recordLeft());
    request.on("error", () => this.#recordLeft());
  }

  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  /** Whether the head of an answer was sent. */
  get isAnswering(): boolean {
    return this.#response.headersSent;
  }

  /** Calls back once if the caller leaves before its answer is whole. */
  onLeft(handleLeft: () => void): void {
    this.#handleLeft = handleLeft;
    if (this.#hasLeft) handleLeft();
  }

  /** Calls back whenever the caller has read what was held for it. */
  onDrain(handleDrain: () => void): void {
    this.#handleDrain = handleDrain;
  }

  /** Reads the whole body. */
  readBody(maxBytes: number): Promise<BodyRead> {
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
        () => resolve({ kind: "whole", body: Buffer.concat(chunks) }),
      );
      this.request.on("close", () => resolve({ kind: "gone" }));
    });
  }

  /** Sends a whole answer of a target. */
  sendAnswer(
    status: number,
    headers: Record<string, string | string[]>,
    body: Uint8Array,
  ): void {
    if (this.#hasLeft) return;
    this.#setConnectionHeader();
    const length = hasBody(this.request.method, status)
      ? { "content-length": String(body.length) }
      : {};
    this.#response.writeHead(status, { ...headers, ...length });
    this.#response.end(body);
  }

  /** Sends the head of a streamed answer. */
  openStream(status: number, headers: Record<string, string | string[]>): void {
    if (this.#hasLeft) return;
    this.#setConnectionHeader();
    this.#response.writeHead(status, headers);
  }

  /** Sends events; false asks to wait until the caller has read. */
  sendEvents(bytes: Uint8Array): boolean {
    if (this.#hasLeft) return true;
    return this.#response.write(bytes);
  }

  /** Ends a streamed answer as complete. */
  endStream(): void {
    if (!this.#hasLeft) this.#response.end();
  }

  /** Cuts the connection, so that an unfinished answer doesn't look whole. */
  close(): void {
    this.#response.destroy();
  }

  /** Sends an answer of the gateway's own. */
  sendOwn(answer: OwnAnswer): void {
    if (this.#hasLeft || this.#response.headersSent) return;
    const { code, name, httpStatus } = answer.code;
    const body = JSON.stringify({ code, name, detail: answer.detail });
    this.#setConnectionHeader();
    this.#response.writeHead(httpStatus, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(body)),
      ...(answer.retryAfterMs === undefined ? {} : {
        "retry-after": String(answer.retryAfterMs / MS_PER_SECOND),
      }),
    });
    this.#response.end(body);
  }

  #setConnectionHeader(): void {
    // The rest of an unread body would be taken for the next request.
    const isUnread = !this.request.complete;
    if (isUnread || this.#isClosing()) {
      this.#response.setHeader("connection", "close");
    }
  }

  #recordLeft(): void {
    if (this.#hasLeft || this.#response.writableFinished) return;
    this.#hasLeft = true;
    this.#handleLeft();
  }
}

function hasBody(method: string | undefined, status: number): boolean {
  return method !== "HEAD" && status !== 204 && status !== 304;
}

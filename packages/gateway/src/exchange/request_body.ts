/**
 * Reads the body of a caller's request into memory, as far as the process may
 * hold it, and as long as no other exchange needs what a slow one holds.
 */
import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "@camphorlock/http/exchange";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { CallerWait, CallerWaits } from "../decisions/caller_waits.ts";
import type { BodyReadResult } from "./caller_exchange.ts";

/**
 * A buffer that grows exists beside the former one until that is collected, and
 * beside its copy when it's complete.
 */
const COPIES_WHILE_GROWING = 2;

/** What the reading of a body uses. */
export interface RequestBodyOptions {
  readonly share: ByteShare;
  readonly waits: CallerWaits;
}

/** The body of one request. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #options: RequestBodyOptions;
  readonly result: Promise<BodyReadResult>;
  #resolve: (result: BodyReadResult) => void = () => {};
  #content = new GrowingBuffer();
  #maxBytes = 0;
  #declaredBytes: number | undefined;
  #reservedBytes = 0;
  #wait: CallerWait | undefined;
  #hasEnded = false;

  constructor(request: IncomingMessage, options: RequestBodyOptions) {
    this.#request = request;
    this.#options = options;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Reads the body until `result`, which never rejects. */
  start(maxBytes: number): void {
    const length = this.#request.headers["content-length"];
    this.#maxBytes = maxBytes;
    if (length !== undefined) {
      const declaredBytes = this.#declaredBytes = Number(length);
      if (declaredBytes > maxBytes) return this.end({ kind: "too_large" });
      if (!this.#reserve(declaredBytes)) return this.end({ kind: "no_memory" });
    }
    this.#content = new GrowingBuffer({
      firstBytes: this.#declaredBytes,
      maxBytes,
      // A body of known length is allocated once, and not copied any more.
      keepsPieces: this.#declaredBytes === undefined,
    });
    this.#wait = this.#options.waits.open(
      performance.now(),
      () => this.end({ kind: "no_memory" }),
    );
    this.#request.on("data", (chunk: Buffer) => this.#addChunk(chunk));
    this.#request.on(
      "end",
      () => this.#endComplete(),
    );
    this.#request.on("close", () => this.end({ kind: "disconnected" }));
  }

  /** Ends the reading; what isn't complete is dropped. */
  end(result: BodyReadResult): void {
    // The rest is only read so that the connection ends in order.
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#wait?.end();
    if (result.kind !== "complete") {
      this.#content.reset();
      this.#options.share.release(this.#reservedBytes);
    }
    this.#resolve(result);
  }

  #endComplete(): void {
    if (this.#hasEnded) return;
    const body = this.#content.view();
    const heldBytes = this.#declaredBytes ?? body.buffer.byteLength;
    this.#content.reset();
    this.#options.share.release(this.#reservedBytes - heldBytes);
    this.end({ kind: "complete", body });
  }

  #addChunk(chunk: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#content.length + chunk.length > this.#maxBytes) {
      return this.end({ kind: "too_large" });
    }
    this.#wait?.recordProgress(chunk.length, performance.now());
    const growth = this.#declaredBytes === undefined
      ? this.#content.computeGrowth(chunk) * COPIES_WHILE_GROWING
      : 0;
    if (!this.#reserve(growth)) return this.end({ kind: "no_memory" });
    // It may have been evicted for its own bytes.
    if (this.#hasEnded) this.#options.share.release(growth);
    else this.#content.append(chunk);
  }

  #reserve(bytes: number): boolean {
    if (bytes > 0 && !this.#options.share.reserve(bytes)) return false;
    this.#reservedBytes += bytes;
    return true;
  }
}

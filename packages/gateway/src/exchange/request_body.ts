/**
 * Reads the body of a caller's request into memory, as far as the process may
 * hold it.
 */
import type { IncomingMessage } from "node:http";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { BodyReadResult } from "./caller_exchange.ts";

/** Chunks are copied into one buffer at the end, beside which they exist. */
const COPIES_OF_CHUNKS = 2;

/** The body of one request. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #share: ByteShare;
  readonly #chunks: Buffer[] = [];
  /** Allocated at once where the length is known. */
  #buffer: Buffer | undefined;
  #bytes = 0;
  #isRefused = false;

  constructor(request: IncomingMessage, share: ByteShare) {
    this.#request = request;
    this.#share = share;
  }

  /** Reads the body; never rejects. */
  read(maxBytes: number): Promise<BodyReadResult> {
    const { headers } = this.#request;
    const length = headers["content-length"];
    if (length !== undefined) {
      const declaredBytes = Number(length);
      if (declaredBytes > maxBytes) {
        return Promise.resolve({ kind: "too_large" });
      }
      if (!this.#share.reserve(declaredBytes)) {
        return Promise.resolve({ kind: "no_memory" });
      }
      this.#buffer = Buffer.allocUnsafe(declaredBytes);
    }
    return new Promise((resolve) => {
      this.#request.on("data", (chunk: Buffer) => {
        const refusal = this.#addChunk(chunk, maxBytes);
        if (refusal !== undefined) resolve(refusal);
      });
      this.#request.on(
        "end",
        () => resolve({ kind: "complete", body: this.#getBody() }),
      );
      this.#request.on("close", () => resolve({ kind: "disconnected" }));
    });
  }

  #addChunk(chunk: Buffer, maxBytes: number): BodyReadResult | undefined {
    // The rest is only read so that the connection ends in order.
    if (this.#isRefused) return undefined;
    const offset = this.#bytes;
    this.#bytes += chunk.length;
    if (this.#bytes > maxBytes) return { kind: "too_large" };
    if (this.#buffer !== undefined) {
      chunk.copy(this.#buffer, offset);
      return undefined;
    }
    if (!this.#share.reserve(chunk.length * COPIES_OF_CHUNKS)) {
      this.#isRefused = true;
      this.#chunks.length = 0;
      return { kind: "no_memory" };
    }
    this.#chunks.push(chunk);
    return undefined;
  }

  #getBody(): Buffer {
    return this.#buffer?.subarray(0, this.#bytes) ??
      Buffer.concat(this.#chunks);
  }
}

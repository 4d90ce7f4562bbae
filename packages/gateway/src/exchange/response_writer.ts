/**
 * Writes bodies to callers that may read slowly, not at all, or that still send
 * their own.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { CallerWaits } from "../decisions/caller_waits.ts";

/** Bytes that are written at once; progress is seen between two pieces. */
const PIECE_BYTES = 262_144;
/** A caller that takes no piece for this long has stopped reading. */
const STALL_MS = 10_000;
/** How long the rest of a refused request is read, so that it ends in order. */
const LINGER_MS = 1_000;
/**
 * How much of it is read while the process is overloaded: what is read and
 * dropped has to be collected, and many large bodies at once would take more
 * than the process may use until then.
 */
const OVERLOAD_LINGER_BYTES = 262_144;

/** What the writing of a body uses. */
export interface WriteOptions {
  readonly share: ByteShare;
  readonly waits: CallerWaits;
}

/**
 * Writes a body piece by piece, and destroys the connection if that stalls, or
 * if others need the memory and the caller doesn't read.
 */
export function writeBody(
  response: ServerResponse,
  body: Uint8Array,
  { share, waits }: WriteOptions,
): void {
  if (response.socket === null) {
    // An earlier response of the connection hasn't ended.
    response.once("socket", () => writeBody(response, body, { share, waits }));
    return;
  }
  const timer = setTimeout(() => response.destroy(), STALL_MS);
  const wait = waits.open(performance.now(), () => {
    response.destroy();
    share.close();
  });
  response.once("close", () => {
    clearTimeout(timer);
    wait.end();
  });
  let offset = 0;
  const writeNext = (): void => {
    if (response.destroyed) return;
    timer.refresh();
    if (offset > 0) wait.recordProgress(PIECE_BYTES, performance.now());
    const piece = body.subarray(offset, offset + PIECE_BYTES);
    offset += piece.length;
    if (offset < body.length) response.write(piece, writeNext);
    else response.end(piece);
  };
  writeNext();
}

/**
 * Writes a complete response to a request whose body isn't read, and closes the
 * connection once the caller has sent the rest: a close before that resets it,
 * and the caller may lose the response.
 */
export function endAfterRequest(
  response: ServerResponse,
  request: IncomingMessage,
  { body, isOverloaded }: {
    readonly body: string;
    readonly isOverloaded: boolean;
  },
): void {
  response.write(body);
  const timer = setTimeout(() => response.end(), LINGER_MS);
  response.once("close", () => clearTimeout(timer));
  request.once("end", () => response.end());
  let bytes = 0;
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (isOverloaded && bytes > OVERLOAD_LINGER_BYTES) request.pause();
  });
  request.resume();
}

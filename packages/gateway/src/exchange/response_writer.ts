/**
 * Writes bodies to callers that may read slowly, or not at all.
 */
import type { ServerResponse } from "node:http";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { CallerWaits } from "../decisions/caller_waits.ts";

/** Bytes that are written at once; progress is seen between two pieces. */
const PIECE_BYTES = 262_144;
/** A caller that takes no piece for this long has stopped reading. */
const STALL_MS = 10_000;

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

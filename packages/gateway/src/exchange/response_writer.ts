/**
 * Writes bodies to callers that may read slowly, or not at all.
 */
import type { ServerResponse } from "node:http";
import type { ByteShare } from "../decisions/byte_budget.ts";
import type { CallerWaits } from "../decisions/caller_waits.ts";

/** Bytes that are written at once; progress is seen between two parts. */
const PART_BYTES = 262_144;
/** A caller that takes no part for this long has stopped reading. */
const STALL_MS = 10_000;

/** What the writing of a body uses. */
export interface WriteOptions {
  readonly share: ByteShare;
  readonly waits: CallerWaits;
}

/**
 * Writes a body part by part, and destroys the connection if that stalls, or if
 * others need the memory and the caller doesn't read.
 */
export function writeBody(
  response: ServerResponse,
  pieces: readonly Uint8Array[],
  { share, waits }: WriteOptions,
): void {
  if (response.socket === null) {
    // An earlier response of the connection hasn't ended.
    response.once(
      "socket",
      () => writeBody(response, pieces, { share, waits }),
    );
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
  const parts = splitParts(pieces);
  const writeNext = (): void => {
    if (response.destroyed) return;
    timer.refresh();
    const part = parts.shift() ?? [];
    const last = part.pop();
    response.cork();
    for (const piece of part) response.write(piece);
    if (parts.length > 0) {
      response.write(last, () => {
        wait.recordProgress(PART_BYTES, performance.now());
        writeNext();
      });
    } else response.end(last);
    response.uncork();
  };
  writeNext();
}

/** Splits the pieces of a body into parts of `PART_BYTES`, but for the last. */
function splitParts(pieces: readonly Uint8Array[]): Uint8Array[][] {
  const parts: Uint8Array[][] = [];
  let leftBytes = 0;
  for (const piece of pieces) {
    let offset = 0;
    while (offset < piece.length) {
      if (leftBytes === 0) {
        parts.push([]);
        leftBytes = PART_BYTES;
      }
      const slice = piece.subarray(offset, offset + leftBytes);
      parts.at(-1)?.push(slice);
      offset += slice.length;
      leftBytes -= slice.length;
    }
  }
  return parts;
}

/**
 * Cuts what a connection sends into slices for the HTTP parser, none of which
 * completes the heads of two requests.
 *
 * The load: hundreds of requests in one read, which the parser hands over all at
 * once, each with its objects and its response. A head and a chunked body end
 * with an empty line, a body with a length after so many bytes. What follows an
 * empty line is in the same slice if it can't end another head. An empty line
 * inside a body only makes the slices smaller.
 */

const EMPTY_LINE = Buffer.from("\r\n\r\n");
const [CARRIAGE_RETURN, LINE_FEED] = EMPTY_LINE;

/** How the rest of the current message is framed. */
type Framing =
  /** A head, or a body in chunks: it ends with an empty line. */
  | { readonly kind: "lines" }
  | { readonly kind: "length"; leftBytes: number };

/** Finds the ends of slices in the input of one connection. */
export class MessageSlicer {
  #framing: Framing = { kind: "lines" };
  /** How many bytes of an empty line the last slice ended with. */
  #matchedBytes = 0;
  /** Bytes of the last slice behind its first empty line. */
  #bytesBehindHead = 0;

  /**
   * Begins the body of a request whose head ended in the last slice; of a known
   * length in bytes, or in chunks.
   */
  startBody(lengthBytes: number | undefined): void {
    this.#framing = lengthBytes === undefined ? { kind: "lines" } : {
      kind: "length",
      leftBytes: Math.max(0, lengthBytes - this.#bytesBehindHead),
    };
  }

  /** Begins the head of the next request. */
  startHead(): void {
    this.#framing = { kind: "lines" };
  }

  /** Computes the bytes of the next slice, at most `maxBytes`, and counts them. */
  takeSlice(input: Buffer, maxBytes: number): number {
    const limitBytes = Math.min(input.length, maxBytes);
    const framing = this.#framing;
    this.#bytesBehindHead = 0;
    if (framing.kind === "length" && framing.leftBytes > 0) {
      const bytes = Math.min(limitBytes, framing.leftBytes);
      framing.leftBytes -= bytes;
      this.#matchedBytes = 0;
      return bytes;
    }
    const slice = input.subarray(0, limitBytes);
    const end = this.#findEmptyLine(slice);
    // A second empty line may end another head.
    if (end !== undefined && slice.includes(EMPTY_LINE, end)) {
      this.#matchedBytes = 0;
      return end;
    }
    this.#bytesBehindHead = limitBytes - (end ?? limitBytes);
    this.#matchedBytes = end === undefined
      ? countMatched(slice, this.#matchedBytes)
      : countMatched(slice.subarray(end), 0);
    return limitBytes;
  }

  /** Finds the end of the first empty line, which may have begun earlier. */
  #findEmptyLine(input: Buffer): number | undefined {
    const missing = EMPTY_LINE.subarray(this.#matchedBytes);
    const isContinued = this.#matchedBytes > 0 &&
      input.length >= missing.length &&
      input.subarray(0, missing.length).equals(missing);
    if (isContinued) return missing.length;
    const at = input.indexOf(EMPTY_LINE);
    return at < 0 ? undefined : at + EMPTY_LINE.length;
  }
}

/**
 * Counts how many bytes of an empty line input ends with, of which there were
 * some before it.
 */
function countMatched(input: Buffer, matchedBytes: number): number {
  const last = input.at(-1);
  if (last !== CARRIAGE_RETURN && last !== LINE_FEED) return 0;
  const tail = Buffer.concat([
    EMPTY_LINE.subarray(0, matchedBytes),
    input.subarray(-EMPTY_LINE.length),
  ]);
  for (let count = EMPTY_LINE.length - 1; count > 0; count -= 1) {
    if (tail.subarray(-count).equals(EMPTY_LINE.subarray(0, count))) {
      return count;
    }
  }
  return 0;
}

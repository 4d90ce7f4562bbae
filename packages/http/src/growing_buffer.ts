/**
 * Collects bytes that arrive in pieces of any size.
 *
 * The load: bodies that arrive in chunks of one byte. A list of such pieces
 * takes a hundred times their bytes, and each keeps what was read together with
 * it. So they're copied into a block, whose size doubles when it's full. Large
 * pieces may be kept as they are: many bodies that are copied at once leave as
 * much again to collect.
 */

/** The first allocation; holds the body of most requests. */
const FIRST_BYTES = 4_096;
/** A quarter of the largest read; each is one allocation of the system. */
const LARGE_PIECE_BYTES = 16_384;
const NOTHING = Buffer.alloc(0);

/** Sizes of a buffer. */
export interface GrowingBufferOptions {
  /** The first allocation, where the length is known. */
  readonly firstBytes?: number | undefined;
  /** More is allocated only for bytes beyond it. */
  readonly maxBytes?: number;
  /** Keeps large pieces, which nobody changes later; `view` copies them. */
  readonly keepsPieces?: boolean;
}

/** Bytes in one buffer that grows. */
export class GrowingBuffer {
  readonly #firstBytes: number;
  readonly #maxBytes: number;
  readonly #keepsPieces: boolean;
  /** What is complete before the last block. */
  #blocks: Uint8Array[] = [];
  #blockBytes = 0;
  /** Bytes that the blocks take beyond their content. */
  #unusedBytes = 0;
  #last: Buffer = NOTHING;
  #used = 0;

  constructor(
    { firstBytes, maxBytes, keepsPieces }: GrowingBufferOptions = {},
  ) {
    this.#firstBytes = firstBytes ?? FIRST_BYTES;
    this.#maxBytes = maxBytes ?? Number.POSITIVE_INFINITY;
    this.#keepsPieces = keepsPieces === true;
  }

  get length(): number {
    return this.#blockBytes + this.#used;
  }

  /** Bytes that the buffer takes, also beyond its content. */
  get capacity(): number {
    return this.#blockBytes + this.#unusedBytes + this.#last.length;
  }

  /** Computes by how much the capacity grows if a piece is appended. */
  computeGrowth(piece: Uint8Array): number {
    if (this.#canKeep(piece)) return piece.buffer.byteLength;
    const neededBytes = this.#used + piece.length;
    if (neededBytes <= this.#last.length) return 0;
    const doubledBytes = Math.max(this.#firstBytes, this.#last.length * 2);
    const leftBytes = this.#maxBytes - this.#blockBytes;
    return Math.max(neededBytes, Math.min(doubledBytes, leftBytes)) -
      this.#last.length;
  }

  /** Adds a piece at the end. */
  append(piece: Uint8Array): void {
    if (this.#canKeep(piece)) return this.#addBlock(piece);
    const growth = this.computeGrowth(piece);
    if (growth > 0) {
      // Not from the pool, of which a long-lived piece keeps all.
      const larger = Buffer.allocUnsafeSlow(this.#last.length + growth);
      this.#last.copy(larger, 0, 0, this.#used);
      this.#last = larger;
    }
    this.#last.set(piece, this.#used);
    this.#used += piece.length;
  }

  /** Views the content in one buffer; later pieces don't change it. */
  view(): Buffer {
    const last = this.#last.subarray(0, this.#used);
    return this.#blocks.length === 0
      ? last
      : Buffer.concat([...this.#blocks, last]);
  }

  /** Lists the content in the pieces in which it's held, none of them empty. */
  listPieces(): Uint8Array[] {
    const last = this.#last.subarray(0, this.#used);
    return last.length === 0 ? [...this.#blocks] : [...this.#blocks, last];
  }

  /** Drops the content; views of it stay valid. */
  reset(): void {
    this.#blocks = [];
    this.#blockBytes = 0;
    this.#unusedBytes = 0;
    this.#last = NOTHING;
    this.#used = 0;
  }

  #canKeep({ length, buffer }: Uint8Array): boolean {
    // A part of something larger would keep all of it.
    return this.#keepsPieces && length >= LARGE_PIECE_BYTES &&
      buffer.byteLength <= length * 2;
  }

  #addBlock(piece: Uint8Array): void {
    if (this.#used > 0) {
      this.#blocks.push(this.#last.subarray(0, this.#used));
      this.#blockBytes += this.#used;
      this.#unusedBytes += this.#last.length - this.#used;
      this.#last = NOTHING;
      this.#used = 0;
    }
    this.#blocks.push(piece);
    this.#blockBytes += piece.length;
    this.#unusedBytes += piece.buffer.byteLength - piece.length;
  }
}

/**
 * Collects bytes that arrive in pieces of any size.
 *
 * The load: bodies that arrive in chunks of one byte. A list of such pieces
 * takes a hundred times their bytes, and each keeps what was read together with
 * it. So they're copied into one buffer, whose size doubles when it's full.
 */

/** The first allocation; holds the body of most requests. */
const FIRST_BYTES = 4_096;
const NOTHING = Buffer.alloc(0);

/** Sizes of a buffer. */
export interface GrowingBufferOptions {
  /** The first allocation, where the length is known. */
  readonly firstBytes?: number | undefined;
  /** More is allocated only for bytes beyond it. */
  readonly maxBytes?: number;
}

/** Bytes in one buffer that grows. */
export class GrowingBuffer {
  readonly #firstBytes: number;
  readonly #maxBytes: number;
  #buffer: Buffer = NOTHING;
  #length = 0;

  constructor({ firstBytes, maxBytes }: GrowingBufferOptions = {}) {
    this.#firstBytes = firstBytes ?? FIRST_BYTES;
    this.#maxBytes = maxBytes ?? Number.POSITIVE_INFINITY;
  }

  get length(): number {
    return this.#length;
  }

  /** Bytes that the buffer takes, also beyond its content. */
  get capacity(): number {
    return this.#buffer.length;
  }

  /** Computes by how much the capacity grows if so many bytes are appended. */
  computeGrowth(bytes: number): number {
    const neededBytes = this.#length + bytes;
    if (neededBytes <= this.capacity) return 0;
    const doubledBytes = Math.max(this.#firstBytes, this.capacity * 2);
    const wantedBytes = Math.min(doubledBytes, this.#maxBytes);
    return Math.max(neededBytes, wantedBytes) - this.capacity;
  }

  /** Copies a piece to the end. */
  append(piece: Uint8Array): void {
    const growth = this.computeGrowth(piece.length);
    if (growth > 0) {
      // Not from the pool, of which a long-lived piece keeps all.
      const larger = Buffer.allocUnsafeSlow(this.capacity + growth);
      this.#buffer.copy(larger, 0, 0, this.#length);
      this.#buffer = larger;
    }
    this.#buffer.set(piece, this.#length);
    this.#length += piece.length;
  }

  /** Views the content; later pieces don't change it. */
  view(): Buffer {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Drops the content; views of it stay valid. */
  reset(): void {
    this.#buffer = NOTHING;
    this.#length = 0;
  }
}

/**
 * Divides the bytes that a process may hold among its exchanges.
 *
 * The load: many large bodies at the same time, from callers and from targets,
 * and callers that stop reading, beside thousands of small exchanges. Each
 * exchange reserves what it holds before it reads it. What doesn't fit isn't
 * read: a request is refused at once, and a response waits on its connection.
 * A part of the budget is only for small exchanges, so that a few large ones
 * can't stop them. Exchanges whose callers keep them waiting are evicted for
 * others, as far as that makes room.
 */

/** What an exchange may hold and still count as small. */
export const SMALL_BYTES = 65_536;
/** Part of the budget that only small exchanges use. */
const SMALL_SHARE = 0.25;
/**
 * Part of a process's memory that exchanges may hold; the rest is for the
 * program, its state, and bytes that are collected later.
 */
const HELD_SHARE = 0.2;

/** Creates the budget of a process that may use so much memory. */
export function createByteBudget(
  memoryBytes: number,
  evict: () => boolean,
): ByteBudget {
  return new ByteBudget(memoryBytes * HELD_SHARE, evict);
}

/** The bytes that all exchanges of one process may hold. */
export class ByteBudget {
  readonly #limitBytes: number;
  /** Makes an exchange release what it holds; false if there's none. */
  readonly #evict: () => boolean;
  #usedBytes = 0;
  /** Exchanges that wait for bytes, the first one first. */
  readonly #waiting = new Set<() => void>();

  constructor(limitBytes: number, evict: () => boolean = () => false) {
    this.#limitBytes = limitBytes;
    this.#evict = evict;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Opens the share of one exchange. */
  open(): ByteShare {
    return new ByteShare(this);
  }

  /** Takes bytes for a share that holds `heldBytes` already. */
  take(bytes: number, heldBytes: number): boolean {
    const isSmall = heldBytes + bytes <= SMALL_BYTES;
    const limit = this.#limitBytes * (isSmall ? 1 : 1 - SMALL_SHARE);
    if (bytes > limit) return false;
    while (this.#usedBytes + bytes > limit) {
      if (!this.#evict()) return false;
    }
    this.#usedBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.#usedBytes -= bytes;
    this.resumeWaiting();
  }

  /** Tries again to give bytes to the exchanges that wait for them. */
  resumeWaiting(): void {
    for (const handleFree of [...this.#waiting]) {
      this.#waiting.delete(handleFree);
      handleFree();
    }
  }

  /** Calls back once after bytes were released. */
  addWaiting(handleFree: () => void): void {
    this.#waiting.add(handleFree);
  }

  removeWaiting(handleFree: () => void): void {
    this.#waiting.delete(handleFree);
  }
}

/** What one exchange holds. */
export class ByteShare {
  readonly #budget: ByteBudget;
  #heldBytes = 0;
  #isClosed = false;
  #handleFree: (() => void) | undefined;
  #handleClose: () => void = () => {};

  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Reserves bytes; false if they don't fit. */
  reserve(bytes: number): boolean {
    if (this.#isClosed || !this.#budget.take(bytes, this.#heldBytes)) {
      return false;
    }
    this.#heldBytes += bytes;
    // It may have been evicted for its own bytes.
    if (!this.#isClosed) return true;
    this.release(bytes);
    return false;
  }

  /** Releases bytes that the exchange doesn't hold any more. */
  release(bytes: number): void {
    const heldBytes = Math.min(bytes, this.#heldBytes);
    if (heldBytes === 0) return;
    this.#heldBytes -= heldBytes;
    this.#budget.release(heldBytes);
  }

  /** Reserves bytes now or once they fit, and then calls back. */
  wait(bytes: number, handleReserved: () => void): void {
    if (this.#isClosed) return;
    if (this.#handleFree !== undefined) {
      this.#budget.removeWaiting(this.#handleFree);
    }
    if (this.reserve(bytes)) return handleReserved();
    this.#handleFree = () => this.wait(bytes, handleReserved);
    this.#budget.addWaiting(this.#handleFree);
  }

  /** Calls back when the share is closed. */
  onClose(handleClose: () => void): void {
    this.#handleClose = handleClose;
  }

  /** Releases everything; a wait ends without a call. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    if (this.#handleFree !== undefined) {
      this.#budget.removeWaiting(this.#handleFree);
    }
    this.release(this.#heldBytes);
    this.#handleClose();
  }
}

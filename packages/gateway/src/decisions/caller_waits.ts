/**
 * The exchanges that wait for their callers: for the rest of a body, or until a
 * response is read. What they hold is given to others when it's needed.
 *
 * The load: hundreds of bodies that stop just short of their end and stay open,
 * hundreds of callers that read nothing, and new ones all the time. The one that
 * made no progress for the longest time is evicted first. A caller that sends or
 * reads a byte now and then makes no progress by that.
 */

/** Bytes within which a caller makes no progress. */
const PROGRESS_BYTES = 16_384;
/**
 * Shortest wait after which an exchange is evicted. An ordinary caller takes a
 * few round trips of 20 ms; without it, new callers would evict each other.
 */
const MIN_WAIT_MS = 250;

/** One exchange that waits. */
export interface CallerWait {
  /** Counts bytes that the caller sent or read. */
  recordProgress(bytes: number, nowMs: number): void;
  /** Ends the wait; the exchange isn't evicted any more. */
  end(): void;
}

interface WaitEntry {
  readonly evict: () => void;
  sinceMs: number;
  bytes: number;
}

/** The waits of one process. */
export class CallerWaits {
  /** The one without progress for the longest time first. */
  readonly #entries = new Set<WaitEntry>();
  readonly #reportEvicted: () => void;

  /** `reportEvicted` is called for each eviction. */
  constructor(reportEvicted: () => void = () => {}) {
    this.#reportEvicted = reportEvicted;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Begins a wait. `evict` has to release what the exchange holds at once. */
  open(nowMs: number, evict: () => void): CallerWait {
    const entry: WaitEntry = { evict, sinceMs: nowMs, bytes: 0 };
    this.#entries.add(entry);
    return {
      recordProgress: (bytes, atMs) => this.#record(entry, bytes, atMs),
      end: () => void this.#entries.delete(entry),
    };
  }

  /** Evicts the longest wait; false if no caller has waited long enough. */
  evictLongest(nowMs: number): boolean {
    const longest = this.#entries.values().next().value;
    if (longest === undefined) return false;
    if (nowMs - longest.sinceMs < MIN_WAIT_MS) return false;
    this.#entries.delete(longest);
    this.#reportEvicted();
    longest.evict();
    return true;
  }

  #record(entry: WaitEntry, bytes: number, nowMs: number): void {
    entry.bytes += bytes;
    if (entry.bytes < PROGRESS_BYTES || !this.#entries.delete(entry)) return;
    entry.bytes = 0;
    entry.sinceMs = nowMs;
    this.#entries.add(entry);
  }
}

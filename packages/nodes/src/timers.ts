/**
 * The clock and timers of the protocol between nodes.
 */

/** A monotonic clock and periodic calls. */
export interface PeerTimers {
  /** Returns the milliseconds of a monotonic clock. */
  readNowMs(): number;
  /** Calls back once per period until the returned function is called. */
  subscribe(periodMs: number, callback: () => void): () => void;
}

/** The timers of the process. */
export const PROCESS_TIMERS: PeerTimers = {
  readNowMs: () => performance.now(),
  subscribe: (periodMs, callback) => {
    const timer = setInterval(callback, periodMs);
    timer.unref();
    return () => clearInterval(timer);
  },
};

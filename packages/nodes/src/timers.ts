/**
 * The timer service as the protocol between nodes uses it.
 */

/** A monotonic clock and periodic calls. */
export interface PeerTimers {
  /** Milliseconds on a clock that never goes back. */
  readNowMs(): number;
  /** Calls back once a period until the returned function is called. */
  subscribe(periodMs: number, callback: () => void): () => void;
}

/** Timers of the running process. */
export const PROCESS_TIMERS: PeerTimers = {
  readNowMs: () => performance.now(),
  subscribe: (periodMs, callback) => {
    const timer = setInterval(callback, periodMs);
    timer.unref();
    return () => clearInterval(timer);
  },
};

/**
 * Reports the connections of one listener that are closed for others.
 */

/** A crowd causes thousands of closures a second. */
const REPORT_INTERVAL_MS = 1_000;

/** The last of some closures. */
export interface ClosureReport {
  readonly reason: string;
  /** Address of the listener. */
  readonly address: string;
  /** How many connections it has closed so far. */
  readonly closed: number;
}

/** The closures of one listener, of which at most one a second is reported. */
export class ClosureReports {
  readonly #report: (report: ClosureReport) => void;
  #closed = 0;
  #reportedAtMs = Number.NEGATIVE_INFINITY;

  constructor(report: (report: ClosureReport) => void) {
    this.#report = report;
  }

  /** Counts a closure at a listener's address. */
  record(reason: string, address: string): void {
    this.#closed += 1;
    const nowMs = performance.now();
    if (nowMs - this.#reportedAtMs < REPORT_INTERVAL_MS) return;
    this.#reportedAtMs = nowMs;
    this.#report({ reason, address, closed: this.#closed });
  }
}

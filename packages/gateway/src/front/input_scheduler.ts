/**
 * Lets connections parse their input in turns, so that no input keeps the
 * process's only thread from other work.
 *
 * Input that arrives while little was parsed is parsed at once. Beyond that it
 * waits, and a part of it is parsed in each iteration of the event loop, in the
 * order of `InputQueue`.
 */
import { InputQueue } from "../decisions/input_queue.ts";

/** Processor time for input in one iteration of the event loop. */
const ITERATION_MS = 10;
/**
 * What was parsed before counts no more after so long, which an iteration takes
 * only if most of it is other work.
 */
const RENEWAL_MS = 2 * ITERATION_MS;

/** A connection with input. */
export interface InputSource {
  readonly remoteAddress: string | undefined;
  /** Whether there's input that may be parsed now. */
  readonly canParse: boolean;
  /** Parses a slice of the input. */
  parseSlice(): void;
  /** Reports the time that the last slice took. */
  recordCost(costMs: number): void;
}

/** Input that waits for another iteration of the event loop. */
export interface InputDelay {
  /** Connections with such input. */
  readonly waiting: number;
  /** The connection that took most of this iteration. */
  readonly costliest: InputSource | undefined;
}

/** Shares the processor time for input among the connections. */
export class InputScheduler {
  readonly #reportDelay: (delay: InputDelay) => void;
  readonly #queue = new InputQueue<InputSource>();
  #usedMs = 0;
  #usedSinceMs = 0;
  /** Whether a slice is being parsed; what it causes waits for its end. */
  #isRunning = false;
  #isScheduled = false;
  #costliest: InputSource | undefined;
  #highestCostMs = 0;

  /** `reportDelay` is called in each iteration that leaves input for later. */
  constructor(reportDelay: (delay: InputDelay) => void = () => {}) {
    this.#reportDelay = reportDelay;
  }

  /** Parses a connection's input now or in a later iteration. */
  schedule(source: InputSource): void {
    if (!source.canParse) return;
    const isWaiting = this.#isRunning || this.#isScheduled;
    if (isWaiting) return this.#queue.add(source);
    const nowMs = performance.now();
    if (nowMs - this.#usedSinceMs >= RENEWAL_MS) this.#resetUse(nowMs);
    this.#isRunning = true;
    try {
      while (source.canParse && this.#hasTime) this.#runSlice(source);
    } finally {
      if (source.canParse) this.#queue.add(source);
      this.#isRunning = false;
      this.#scheduleQueue();
    }
  }

  /** Drops the input of a connection that closed. */
  remove(source: InputSource): void {
    this.#queue.remove(source);
  }

  get #hasTime(): boolean {
    return this.#usedMs < ITERATION_MS;
  }

  #scheduleQueue(): void {
    this.#isScheduled = this.#queue.size > 0;
    if (!this.#isScheduled) return;
    this.#reportDelay({
      waiting: this.#queue.size,
      costliest: this.#costliest,
    });
    setImmediate(() => {
      this.#resetUse(performance.now());
      this.#runQueue();
    });
  }

  /** Parses what waits, as far as there's time. */
  #runQueue(): void {
    this.#isRunning = true;
    try {
      while (this.#hasTime) {
        const source = this.#queue.takeNext();
        if (source === undefined) break;
        this.#runSlice(source);
        if (source.canParse) this.#queue.add(source);
      }
    } finally {
      this.#isRunning = false;
      this.#scheduleQueue();
    }
  }

  #runSlice(source: InputSource): void {
    const startedAtMs = performance.now();
    source.parseSlice();
    const costMs = performance.now() - startedAtMs;
    this.#usedMs += costMs;
    if (costMs > this.#highestCostMs) {
      this.#highestCostMs = costMs;
      this.#costliest = source;
    }
    this.#queue.recordCost(source, costMs);
    source.recordCost(costMs);
  }

  #resetUse(nowMs: number): void {
    this.#usedMs = 0;
    this.#usedSinceMs = nowMs;
    this.#highestCostMs = 0;
    this.#costliest = undefined;
  }
}

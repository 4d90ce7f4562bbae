/**
 * Events under virtual time, in the order of their times and, for equal
 * times, of their addition.
 */

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** A priority queue of events with a virtual clock. */
export class EventQueue {
  #heap: QueuedEvent[] = [];
  #nowMs = 0;
  #order = 0;

  /** The present virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Adds an event that runs after a delay. */
  add(delayMs: number, run: () => void): void {
    this.#order += 1;
    const atMs = this.#nowMs + Math.max(0, delayMs);
    this.#heap.push({ atMs, order: this.#order, run });
    this.#sortUp(this.#heap.length - 1);
  }

  /** Runs every event up to a time, and sets the clock to it. */
  runUntil(untilMs: number): void {
    for (;;) {
      const first = this.#heap[0];
      if (first === undefined || first.atMs > untilMs) break;
      this.#removeFirst();
      this.#nowMs = first.atMs;
      first.run();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#sortDown(0);
  }

  #sortUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#updatePair(index, parent);
      index = parent;
    }
  }

  #sortDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.#isBefore(left, least)) least = left;
      if (this.#isBefore(right, least)) least = right;
      if (least === index) return;
      this.#updatePair(index, least);
      index = least;
    }
  }

  #isBefore(index: number, other: number): boolean {
    const left = this.#heap[index];
    const right = this.#heap[other];
    if (left === undefined || right === undefined) return false;
    return left.atMs < right.atMs ||
      (left.atMs === right.atMs && left.order < right.order);
  }

  #updatePair(index: number, other: number): void {
    const left = this.#heap[index];
    const right = this.#heap[other];
    if (left === undefined || right === undefined) return;
    this.#heap[index] = right;
    this.#heap[other] = left;
  }
}

/**
 * Virtual time: runs scheduled tasks in the order of their due times.
 */

/** A task and its due time. */
interface ScheduledTask {
  readonly atMs: number;
  readonly number: number;
  readonly run: (nowMs: number) => void;
}

/** A clock that advances only to the due times of the tasks that it runs. */
export class VirtualClock {
  /** A binary heap ordered by due time, then by insertion order. */
  readonly #heap: ScheduledTask[] = [];
  #number = 0;
  #nowMs = 0;

  /** The current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Schedules a task after a delay. */
  add(delayMs: number, run: (nowMs: number) => void): void {
    this.addAt(this.#nowMs + delayMs, run);
  }

  /** Schedules a task at a time, or immediately if that time has passed. */
  addAt(dueAtMs: number, run: (nowMs: number) => void): void {
    this.#number += 1;
    const atMs = Math.max(this.#nowMs, dueAtMs);
    this.#heap.push({ atMs, number: this.#number, run });
    this.#sortUp(this.#heap.length - 1);
  }

  /** Runs all tasks that are due within a duration. */
  runFor(durationMs: number): void {
    this.runTo(this.#nowMs + durationMs);
  }

  /** Runs all tasks that are due up to a time, that time included. */
  runTo(untilMs: number): void {
    for (;;) {
      const next = this.#heap[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run(next.atMs);
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  /** Runs tasks until a condition holds; returns false on timeout. */
  runUntil(isDone: () => boolean, timeoutMs: number): boolean {
    const untilMs = this.#nowMs + timeoutMs;
    while (!isDone()) {
      const next = this.#heap[0];
      if (next === undefined || next.atMs > untilMs) return false;
      this.#removeFirst();
      this.#nowMs = next.atMs;
      next.run(next.atMs);
    }
    return true;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    this.#sortDown();
  }

  #sortUp(from: number): void {
    let index = from;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) return;
      this.#updatePair(index, parent);
      index = parent;
    }
  }

  #sortDown(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      let first = index;
      if (this.#isBefore(left, first)) first = left;
      if (this.#isBefore(left + 1, first)) first = left + 1;
      if (first === index) return;
      this.#updatePair(index, first);
      index = first;
    }
  }

  #isBefore(left: number, right: number): boolean {
    const a = this.#heap[left];
    const b = this.#heap[right];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.number < b.number);
  }

  #updatePair(left: number, right: number): void {
    const a = this.#heap[left];
    const b = this.#heap[right];
    if (a === undefined || b === undefined) return;
    this.#heap[left] = b;
    this.#heap[right] = a;
  }
}

/**
 * Virtual time: runs work in the order of its due times.
 */

/** Work that is due at a time. */
interface DueWork {
  readonly atMs: number;
  readonly number: number;
  readonly run: (nowMs: number) => void;
}

/** A clock that stands still but for the work that it runs. */
export class VirtualClock {
  /** A binary heap by due time, then by the order of adding. */
  readonly #heap: DueWork[] = [];
  #number = 0;
  #nowMs = 0;

  /** The present time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Adds work that is due after a delay. */
  add(delayMs: number, run: (nowMs: number) => void): void {
    this.addAt(this.#nowMs + delayMs, run);
  }

  /** Adds work that is due at a time, or at once if that has passed. */
  addAt(dueAtMs: number, run: (nowMs: number) => void): void {
    this.#number += 1;
    const atMs = Math.max(this.#nowMs, dueAtMs);
    this.#heap.push({ atMs, number: this.#number, run });
    this.#sortUp(this.#heap.length - 1);
  }

  /** Runs all work that is due within a time. */
  runFor(durationMs: number): void {
    this.runTo(this.#nowMs + durationMs);
  }

  /** Runs all work that is due up to a time. */
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

  /** Runs work until a condition holds; false when the time runs out. */
  runUntil(isDone: () => boolean, limitMs: number): boolean {
    const untilMs = this.#nowMs + limitMs;
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
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!this.#isBefore(at, parent)) return;
      this.#updatePair(at, parent);
      at = parent;
    }
  }

  #sortDown(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      let first = at;
      if (this.#isBefore(left, first)) first = left;
      if (this.#isBefore(left + 1, first)) first = left + 1;
      if (first === at) return;
      this.#updatePair(at, first);
      at = first;
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

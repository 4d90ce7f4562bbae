/**
 * Events of the benches in order of virtual time.
 */

interface QueuedEvent {
  readonly atMs: number;
  readonly number: number;
  readonly run: (nowMs: number) => void;
}

/** A binary heap of events; equal times keep their order of entry. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #number = 0;
  #nowMs = 0;

  /** The present virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Adds an event. */
  add(atMs: number, run: (nowMs: number) => void): void {
    this.#number += 1;
    const event = { atMs: Math.max(atMs, this.#nowMs), number: this.#number };
    this.#heap.push({ ...event, run });
    this.#sortUp(this.#heap.length - 1);
  }

  /** Runs events until none is left before a time. */
  runUntil(endMs: number): void {
    for (;;) {
      const event = this.#heap[0];
      if (event === undefined || event.atMs > endMs) break;
      this.#removeFirst();
      this.#nowMs = event.atMs;
      event.run(event.atMs);
    }
    this.#nowMs = endMs;
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
      if (left >= this.#heap.length) return;
      const right = left + 1;
      const hasRight = right < this.#heap.length;
      const child = hasRight && this.#isBefore(right, left) ? right : left;
      if (!this.#isBefore(child, index)) return;
      this.#updatePair(child, index);
      index = child;
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

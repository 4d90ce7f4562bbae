/**
 * When waiting requests move up by a class, miss their objectives, and end their
 * wait.
 */
import { IndexedHeap } from "./indexed_heap.ts";

/** What happens to a request at a time. */
export interface DueTime<T> {
  readonly request: T;
  readonly atMs: number;
  readonly kind: "promote" | "late" | "expire";
}

/** The due times of the waiting requests. */
export class DueTimes<T> {
  readonly #order = new IndexedHeap<DueTime<T>>((left, right) =>
    left.atMs - right.atMs
  );
  readonly #byRequest = new Map<T, Set<DueTime<T>>>();

  add(due: DueTime<T>): void {
    this.#order.add(due);
    const all = this.#byRequest.get(due.request);
    if (all === undefined) this.#byRequest.set(due.request, new Set([due]));
    else all.add(due);
  }

  /** Removes all due times of a request. */
  remove(request: T): void {
    for (const due of this.#byRequest.get(request) ?? []) {
      this.#order.remove(due);
    }
    this.#byRequest.delete(request);
  }

  /** Sets the end of a request's wait, if that's earlier than before. */
  updateExpiry(request: T, atMs: number): void {
    const all = this.#byRequest.get(request) ?? new Set();
    for (const due of all) {
      if (due.kind !== "expire") continue;
      if (due.atMs <= atMs) return;
      all.delete(due);
      this.#order.remove(due);
    }
    this.add({ request, atMs, kind: "expire" });
  }

  /** Takes the next time that has come. */
  takeDue(nowMs: number): DueTime<T> | undefined {
    const due = this.#order.first;
    if (due === undefined || due.atMs > nowMs) return undefined;
    this.#order.remove(due);
    this.#byRequest.get(due.request)?.delete(due);
    return due;
  }
}

/**
 * When waiting requests move up by a class, miss their objectives, and end their
 * wait. Only the next time of each request is in the order of all.
 */
import { IndexedHeap } from "./indexed_heap.ts";

/** What happens to a request at a time. */
export interface DueTime {
  readonly atMs: number;
  readonly kind: "promote" | "late" | "expire";
}

interface Agenda<T> {
  readonly request: T;
  /** In order; never empty while the agenda is in the order. */
  times: DueTime[];
}

/** The due times of the waiting requests. */
export class DueTimes<T> {
  readonly #order = new IndexedHeap<Agenda<T>>((left, right) =>
    getNextMs(left) - getNextMs(right)
  );
  readonly #byRequest = new Map<T, Agenda<T>>();

  /** Sets all due times of a request. */
  set(request: T, times: readonly DueTime[]): void {
    this.remove(request);
    const finite = times.filter(({ atMs }) => Number.isFinite(atMs));
    if (finite.length === 0) return;
    const sorted = finite.sort((left, right) => left.atMs - right.atMs);
    const agenda = { request, times: sorted };
    this.#byRequest.set(request, agenda);
    this.#order.add(agenda);
  }

  /** Removes all due times of a request. */
  remove(request: T): void {
    const agenda = this.#byRequest.get(request);
    if (agenda === undefined) return;
    this.#order.remove(agenda);
    this.#byRequest.delete(request);
  }

  /** Sets the end of a request's wait, if that's earlier than before. */
  updateExpiry(request: T, atMs: number): void {
    const times = this.#byRequest.get(request)?.times ?? [];
    const before = times.find(({ kind }) => kind === "expire");
    if (before !== undefined && before.atMs <= atMs) return;
    const others = times.filter((each) => each !== before);
    this.set(request, [...others, { atMs, kind: "expire" }]);
  }

  /** Takes the next time that has come. */
  takeDue(
    nowMs: number,
  ): { readonly request: T; readonly kind: DueTime["kind"] } | undefined {
    const agenda = this.#order.first;
    if (agenda === undefined) return undefined;
    const [due, ...others] = agenda.times;
    if (due === undefined || due.atMs > nowMs) return undefined;
    this.set(agenda.request, others);
    return { request: agenda.request, kind: due.kind };
  }
}

function getNextMs<T>({ times }: Agenda<T>): number {
  return times[0]?.atMs ?? Number.POSITIVE_INFINITY;
}

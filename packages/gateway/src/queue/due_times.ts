/**
 * When waiting requests move up by a class, miss their objectives, and end their
 * wait. Only the next time of each request is in the order of all.
 */
import { IndexedHeap } from "./indexed_heap.ts";

/** The times of one request; infinite if something never happens. */
export interface RequestTimes {
  lateAtMs: number;
  expireAtMs: number;
  promoteAtMs: number;
  /** Time between two moves. */
  readonly promoteEveryMs: number;
}

/** What has come due. */
export interface DueRequest<T> {
  readonly request: T;
  readonly kind: "promote" | "late" | "expire";
}

interface Agenda<T> extends RequestTimes {
  readonly request: T;
  /** Key in the order; changes only while it isn't in it. */
  nextMs: number;
}

/** The due times of the waiting requests. */
export class DueTimes<T> {
  readonly #order = new IndexedHeap<Agenda<T>>((left, right) =>
    left.nextMs - right.nextMs
  );
  readonly #byRequest = new Map<T, Agenda<T>>();

  add(request: T, times: RequestTimes): void {
    const agenda = { ...times, request, nextMs: 0 };
    this.#byRequest.set(request, agenda);
    this.#addNext(agenda);
  }

  /** Removes a request. */
  remove(request: T): void {
    const agenda = this.#byRequest.get(request);
    if (agenda === undefined) return;
    this.#order.remove(agenda);
    this.#byRequest.delete(request);
  }

  /** Sets the end of a request's wait, if that's earlier than before. */
  updateExpiry(request: T, atMs: number): void {
    const agenda = this.#byRequest.get(request);
    if (agenda === undefined || agenda.expireAtMs <= atMs) return;
    this.#order.remove(agenda);
    agenda.expireAtMs = atMs;
    this.#addNext(agenda);
  }

  /** Takes the next time that has come. */
  takeDue(nowMs: number): DueRequest<T> | undefined {
    const agenda = this.#order.first;
    if (agenda === undefined || agenda.nextMs > nowMs) return undefined;
    this.#order.remove(agenda);
    const kind = takeNext(agenda);
    this.#addNext(agenda);
    return { request: agenda.request, kind };
  }

  #addNext(agenda: Agenda<T>): void {
    const { lateAtMs, expireAtMs, promoteAtMs } = agenda;
    agenda.nextMs = Math.min(lateAtMs, expireAtMs, promoteAtMs);
    if (Number.isFinite(agenda.nextMs)) this.#order.add(agenda);
  }
}

function takeNext(times: Agenda<unknown>): DueRequest<unknown>["kind"] {
  const { nextMs } = times;
  if (nextMs === times.expireAtMs) {
    times.expireAtMs = Number.POSITIVE_INFINITY;
    return "expire";
  }
  if (nextMs === times.lateAtMs) {
    times.lateAtMs = Number.POSITIVE_INFINITY;
    return "late";
  }
  times.promoteAtMs += times.promoteEveryMs;
  return "promote";
}

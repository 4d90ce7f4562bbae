/**
 * The order of a service's waiting requests over all classes.
 *
 * The most urgent class goes first, unless far less of another class was served
 * than of all requests together. A request that ages moves up by a class. One
 * that can't meet its objective any more goes after all that can: in a crest,
 * the earliest deadline first would serve every request too late.
 */
import { ClassOrder, type OrderedRequest } from "./class_order.ts";
import { ServedShare } from "./served_share.ts";

/** The waiting requests of one service. */
export class WaitingOrder<
  T extends OrderedRequest & { readonly classes: number },
> {
  readonly #classes: ClassOrder[] = [];
  /** The present rank of each waiting request. */
  readonly #ranks = new Map<OrderedRequest, number>();
  readonly #all = new ServedShare();

  get size(): number {
    return this.#ranks.size;
  }

  has(request: T): boolean {
    return this.#ranks.has(request);
  }

  /**
   * Gets the rank of a request, as far as it has moved up; the number of classes
   * is added for one that is late.
   */
  getRank(request: T): number {
    return this.#ranks.get(request) ?? request.rank;
  }

  recordOffered({ tenant, rank }: T, nowMs: number): void {
    this.#all.recordOffered(nowMs);
    this.#getClass(rank).recordOffered(tenant, nowMs);
  }

  recordServed(request: T, nowMs: number): void {
    this.#all.recordServed(nowMs);
    this.#getClass(request.rank).recordServed(request, nowMs);
  }

  recordRejected(request: T, nowMs: number): void {
    this.#all.recordServed(nowMs, -1);
    this.#getClass(request.rank).recordRejected(request, nowMs);
  }

  /** Adds a request at a rank that it had before, else at its own. */
  add(
    request: T,
    { rank = request.rank, nowMs }: {
      readonly rank?: number;
      readonly nowMs: number;
    },
  ): void {
    this.#ranks.set(request, rank);
    this.#getClass(rank).add(request, nowMs);
  }

  remove(request: T): boolean {
    const rank = this.#ranks.get(request);
    if (rank === undefined) return false;
    this.#ranks.delete(request);
    return this.#getClass(rank).remove(request);
  }

  /**
   * Moves a request up by a class, among those that are late if it is; false if
   * it's in the first one or doesn't wait here.
   */
  updateRank(request: T, nowMs: number): boolean {
    const rank = this.getRank(request);
    if (rank === 0 || rank === request.classes) return false;
    if (!this.remove(request)) return false;
    this.add(request, { rank: rank - 1, nowMs });
    return true;
  }

  /** Moves a request behind all that can still meet their objectives. */
  setLate(request: T, nowMs: number): void {
    const rank = this.getRank(request);
    if (rank >= request.classes || !this.remove(request)) return;
    this.add(request, { rank: rank + request.classes, nowMs });
  }

  /** Lists the requests that go next. */
  listFirst(count: number, nowMs: number): T[] {
    const waiting = this.#classes.filter(({ size }) => size > 0);
    const starved = waiting.find(({ share }) =>
      share.isStarved(this.#all, nowMs)
    );
    const first: T[] = [];
    for (const each of new Set([starved ?? waiting[0], ...waiting])) {
      if (each === undefined || first.length >= count) break;
      first.push(...each.listFirst(count - first.length) as T[]);
    }
    return first;
  }

  /** Whether far less of the request's class was served than of all. */
  isStarved({ rank }: T, nowMs: number): boolean {
    return this.#getClass(rank).share.isStarved(this.#all, nowMs);
  }

  /** Finds the last request in order, which is refused if there are too many. */
  findLast(): T | undefined {
    const last = this.#classes.findLast(({ size }) => size > 0);
    return last?.findLast() as T | undefined;
  }

  /** Counts the requests of its class that are expected to go before. */
  countBefore(request: T): number {
    return this.#getClass(this.getRank(request)).countBefore(request);
  }

  #getClass(rank: number): ClassOrder {
    while (this.#classes.length <= rank) this.#classes.push(new ClassOrder());
    return this.#classes[rank] as ClassOrder;
  }
}

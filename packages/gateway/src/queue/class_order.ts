/**
 * The waiting requests of one class. The tenant that has received the least
 * work comes first (start-time fair queueing, without credit for idle time);
 * within a tenant come the programs that have begun, then short work, then the
 * earliest deadline.
 *
 * Designed for 10,000 tenants and as many waiting requests: every operation
 * takes logarithmic time.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import { OrderedItems } from "./indexed_heap.ts";
import { ServedShare } from "./served_share.ts";

/** Twice the tenants that an installation is designed for. */
const MAX_TENANTS = 20_000;

/** A request as the order sees it. */
export interface OrderedRequest {
  /** Increases by arrival. */
  readonly sequence: number;
  /** Empty where callers have no tenants. */
  readonly tenant: string;
  /** Position of its class among those of the service; 0 is the first. */
  readonly rank: number;
  readonly hasBegun: boolean;
  /** Whether its work is long for its objective. */
  readonly isLong: boolean;
  /** Expected work at the target. */
  readonly workMs: number;
  /** When its program, or the request itself, should be complete. */
  readonly dueAtMs: number;
}

interface TenantState {
  readonly name: string;
  /** Work received, in the virtual time of the class. */
  receivedMs: number;
  /** Key in the order of tenants; changes only while it isn't in it. */
  startMs: number;
  /** Breaks ties between tenants by arrival. */
  sequence: number;
  readonly share: ServedShare;
  readonly waiting: OrderedItems<OrderedRequest>;
}

/** The waiting requests of one class, in order. */
export class ClassOrder {
  readonly share = new ServedShare();
  readonly #states = new BoundedMap<string, TenantState>(MAX_TENANTS);
  /** Tenants with waiting requests. */
  readonly #active = new Map<string, TenantState>();
  readonly #order = new OrderedItems<TenantState>(compareTenants);
  #virtualMs = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get first(): OrderedRequest | undefined {
    return this.#order.first?.waiting.first;
  }

  get last(): OrderedRequest | undefined {
    return this.#order.last?.waiting.last;
  }

  /** Counts the requests that are expected to go before a request. */
  countBefore({ tenant }: OrderedRequest): number {
    const own = this.#active.get(tenant)?.waiting.size ?? 0;
    const interleaved = (own + 1) * this.#active.size;
    return Math.min(this.#size, Math.max(own, interleaved - 1));
  }

  recordOffered(tenant: string, nowMs: number): void {
    this.share.recordOffered(nowMs);
    this.#getState(tenant).share.recordOffered(nowMs);
  }

  /**
   * Adds a waiting request. A tenant of which far less was served than of all
   * owes nothing for work that it received before.
   */
  add(request: OrderedRequest, nowMs: number): void {
    const state = this.#getState(request.tenant);
    if (state.waiting.size === 0) {
      const isStarved = state.share.isStarved(this.share, nowMs);
      if (isStarved) state.receivedMs = this.#virtualMs;
      state.startMs = Math.max(this.#virtualMs, state.receivedMs);
      state.sequence = request.sequence;
      this.#active.set(state.name, state);
    } else {
      this.#order.remove(state);
    }
    state.waiting.add(request);
    this.#order.add(state);
    this.#size += 1;
  }

  /** Removes a waiting request; false if it isn't here. */
  remove(request: OrderedRequest): boolean {
    const state = this.#active.get(request.tenant);
    if (state === undefined || !state.waiting.remove(request)) return false;
    this.#size -= 1;
    if (state.waiting.size > 0) return true;
    this.#order.remove(state);
    this.#active.delete(state.name);
    return true;
  }

  /** Records the work of a request that goes to a target. */
  recordServed({ tenant, workMs }: OrderedRequest, nowMs: number): void {
    const state = this.#getState(tenant);
    const isWaiting = state.waiting.size > 0;
    if (isWaiting) this.#order.remove(state);
    const startMs = Math.max(this.#virtualMs, state.receivedMs);
    state.receivedMs = startMs + workMs;
    const leastMs = this.#order.first?.startMs ?? Number.POSITIVE_INFINITY;
    this.#virtualMs = Math.max(this.#virtualMs, Math.min(startMs, leastMs));
    if (isWaiting) {
      state.startMs = Math.max(this.#virtualMs, state.receivedMs);
      this.#order.add(state);
    }
    this.share.recordServed(nowMs);
    state.share.recordServed(nowMs);
  }

  /** Takes back the work of a request that its target rejected. */
  recordRejected({ tenant, workMs }: OrderedRequest, nowMs: number): void {
    const state = this.#getState(tenant);
    state.receivedMs -= workMs;
    this.share.recordServed(nowMs, -1);
    state.share.recordServed(nowMs, -1);
  }

  #getState(name: string): TenantState {
    const known = this.#active.get(name) ?? this.#states.get(name);
    if (known !== undefined) return known;
    const state: TenantState = {
      name,
      receivedMs: this.#virtualMs,
      startMs: 0,
      sequence: 0,
      share: new ServedShare(),
      waiting: new OrderedItems(compareRequests),
    };
    this.#states.set(name, state);
    return state;
  }
}

function compareTenants(left: TenantState, right: TenantState): number {
  return left.startMs - right.startMs || left.sequence - right.sequence;
}

function compareRequests(left: OrderedRequest, right: OrderedRequest): number {
  return Number(right.hasBegun) - Number(left.hasBegun) ||
    Number(left.isLong) - Number(right.isLong) ||
    left.dueAtMs - right.dueAtMs || left.sequence - right.sequence;
}

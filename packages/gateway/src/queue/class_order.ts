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

/** What is kept of a tenant while none of its requests waits. */
interface TenantRecord {
  /** Work received, in the virtual time of the class. */
  receivedMs: number;
  readonly share: ServedShare;
}

interface WaitingTenant {
  readonly name: string;
  readonly record: TenantRecord;
  /** Key in the order of tenants; changes only while it isn't in it. */
  startMs: number;
  /** Breaks ties between tenants by arrival. */
  readonly sequence: number;
  readonly requests: OrderedItems<OrderedRequest>;
}

/** The waiting requests of one class, in order. */
export class ClassOrder {
  readonly share = new ServedShare();
  readonly #records = new BoundedMap<string, TenantRecord>(MAX_TENANTS);
  readonly #waiting = new Map<string, WaitingTenant>();
  readonly #order = new OrderedItems<WaitingTenant>(compareTenants);
  #virtualMs = 0;
  #size = 0;

  get size(): number {
    return this.#size;
  }

  get first(): OrderedRequest | undefined {
    return this.#order.first?.requests.first;
  }

  /** Finds the last request of the tenant that has received the most. */
  findLast(): OrderedRequest | undefined {
    return this.#order.findLast()?.requests.findLast();
  }

  /** Lists the first requests of the first tenants, or of the only one. */
  listFirst(count: number): OrderedRequest[] {
    const tenants = this.#order.listFirst(count);
    const [first] = tenants;
    if (first === undefined) return [];
    if (tenants.length === 1) return first.requests.listFirst(count);
    return tenants.flatMap(({ requests }) => requests.listFirst(1));
  }

  /** Counts the requests that are expected to go before a request. */
  countBefore({ tenant }: OrderedRequest): number {
    const own = this.#waiting.get(tenant)?.requests.size ?? 0;
    const interleaved = (own + 1) * this.#waiting.size;
    return Math.min(this.#size, Math.max(own, interleaved - 1));
  }

  recordOffered(tenant: string, nowMs: number): void {
    this.share.recordOffered(nowMs);
    this.#getRecord(tenant).share.recordOffered(nowMs);
  }

  /**
   * Adds a waiting request. A tenant of which far less was served than of all
   * owes nothing for work that it received before.
   */
  add(request: OrderedRequest, nowMs: number): void {
    this.#size += 1;
    const known = this.#waiting.get(request.tenant);
    if (known !== undefined) return known.requests.add(request);
    const tenant = this.#createWaiting(request, nowMs);
    tenant.requests.add(request);
    this.#waiting.set(tenant.name, tenant);
    this.#order.add(tenant);
  }

  /** Removes a waiting request; false if it isn't here. */
  remove(request: OrderedRequest): boolean {
    const tenant = this.#waiting.get(request.tenant);
    if (tenant === undefined || !tenant.requests.remove(request)) return false;
    this.#size -= 1;
    if (tenant.requests.size > 0) return true;
    this.#order.remove(tenant);
    this.#waiting.delete(tenant.name);
    return true;
  }

  /** Records the work of a request that goes to a target. */
  recordServed({ tenant, workMs }: OrderedRequest, nowMs: number): void {
    const record = this.#getRecord(tenant);
    const waiting = this.#waiting.get(tenant);
    if (waiting !== undefined) this.#order.remove(waiting);
    const startMs = Math.max(this.#virtualMs, record.receivedMs);
    record.receivedMs = startMs + workMs;
    const leastMs = this.#order.first?.startMs ?? Number.POSITIVE_INFINITY;
    this.#virtualMs = Math.max(this.#virtualMs, Math.min(startMs, leastMs));
    if (waiting !== undefined) {
      waiting.startMs = Math.max(this.#virtualMs, record.receivedMs);
      this.#order.add(waiting);
    }
    this.share.recordServed(nowMs);
    record.share.recordServed(nowMs);
  }

  /** Takes back the work of a request that its target rejected. */
  recordRejected({ tenant, workMs }: OrderedRequest, nowMs: number): void {
    const record = this.#getRecord(tenant);
    record.receivedMs -= workMs;
    this.share.recordServed(nowMs, -1);
    record.share.recordServed(nowMs, -1);
  }

  #createWaiting(
    { tenant: name, sequence }: OrderedRequest,
    nowMs: number,
  ): WaitingTenant {
    const record = this.#getRecord(name);
    const isStarved = record.share.isStarved(this.share, nowMs);
    if (isStarved) record.receivedMs = this.#virtualMs;
    return {
      name,
      record,
      startMs: Math.max(this.#virtualMs, record.receivedMs),
      sequence,
      requests: new OrderedItems(compareRequests),
    };
  }

  #getRecord(name: string): TenantRecord {
    const known = this.#waiting.get(name)?.record ?? this.#records.get(name);
    if (known !== undefined) return known;
    const record = { receivedMs: this.#virtualMs, share: new ServedShare() };
    this.#records.set(name, record);
    return record;
  }
}

function compareTenants(left: WaitingTenant, right: WaitingTenant): number {
  return left.startMs - right.startMs || left.sequence - right.sequence;
}

function compareRequests(left: OrderedRequest, right: OrderedRequest): number {
  return Number(right.hasBegun) - Number(left.hasBegun) ||
    Number(left.isLong) - Number(right.isLong) ||
    left.dueAtMs - right.dueAtMs || left.sequence - right.sequence;
}

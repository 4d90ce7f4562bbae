/**
 * Divides what connections take among the addresses they come from.
 *
 * The load: one client with hundreds of connections, beside clients with a few
 * each. Where a connection has to be closed, it's one of the address that has
 * the most. An address that already runs many requests leaves the last free
 * places to others, by a dynamic threshold: it may run a multiple of what's
 * free. Clients behind one address share its part.
 */
import { IndexedHeap } from "../queue/indexed_heap.ts";

/** How many times the free places one address may take: 8 of 9 if it's alone. */
const FREE_MULTIPLE = 8;

interface AddressGroup<Connection> {
  readonly address: string;
  /** With the order in which they began to wait, the longest wait first. */
  readonly waiting: Map<Connection, number>;
}

/** The connections that may be closed for others. */
export class WaitingConnections<Connection extends object> {
  readonly #groups = new Map<string, AddressGroup<Connection>>();
  readonly #byConnection = new Map<Connection, AddressGroup<Connection>>();
  readonly #order = new IndexedHeap<AddressGroup<Connection>>(compareGroups);
  #sequence = 0;

  /** Adds a connection, or moves it behind all that wait already. */
  add(connection: Connection, address: string): void {
    this.remove(connection);
    const group = this.#groups.get(address) ?? { address, waiting: new Map() };
    this.#groups.set(address, group);
    this.#byConnection.set(connection, group);
    this.#order.remove(group);
    group.waiting.set(connection, this.#sequence += 1);
    this.#order.add(group);
  }

  has(connection: Connection): boolean {
    return this.#byConnection.has(connection);
  }

  remove(connection: Connection): void {
    const group = this.#byConnection.get(connection);
    if (group === undefined) return;
    this.#byConnection.delete(connection);
    this.#order.remove(group);
    group.waiting.delete(connection);
    if (group.waiting.size > 0) this.#order.add(group);
    else this.#groups.delete(group.address);
  }

  /** Finds the longest wait at the address that has the most. */
  findExcess(): Connection | undefined {
    return this.#order.first?.waiting.keys().next().value;
  }
}

/** Counts what runs, for each address. */
export class AddressRuns {
  readonly #max: number;
  readonly #byAddress = new Map<string, number>();
  #running = 0;

  constructor(max: number) {
    this.#max = max;
  }

  get hasRoom(): boolean {
    return this.#running < this.#max;
  }

  /** Whether an address may run one more. */
  canStart(address: string): boolean {
    if (!this.hasRoom) return false;
    const free = this.#max - this.#running;
    return (this.#byAddress.get(address) ?? 0) < free * FREE_MULTIPLE;
  }

  add(address: string): void {
    this.#running += 1;
    this.#byAddress.set(address, (this.#byAddress.get(address) ?? 0) + 1);
  }

  remove(address: string): void {
    this.#running -= 1;
    const left = (this.#byAddress.get(address) ?? 0) - 1;
    if (left > 0) this.#byAddress.set(address, left);
    else this.#byAddress.delete(address);
  }
}

/** Orders by the number of connections, then by the longest wait. */
function compareGroups<Connection>(
  left: AddressGroup<Connection>,
  right: AddressGroup<Connection>,
): number {
  return right.waiting.size - left.waiting.size ||
    getLongest(left) - getLongest(right);
}

function getLongest<Connection>({ waiting }: AddressGroup<Connection>): number {
  return waiting.values().next().value ?? Number.POSITIVE_INFINITY;
}

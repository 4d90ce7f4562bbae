/**
 * Divides what connections take among the addresses they come from.
 *
 * The load: one client with hundreds of connections, beside clients with a few
 * each. Where a connection has to be closed, it's one of the address that has
 * the most. An address that already runs many requests leaves the last free
 * places to others, by a dynamic threshold: it may run a multiple of what's
 * free. Clients behind one address share its part.
 */

/** How many times the free places one address may take: 8 of 9 if it's alone. */
const FREE_MULTIPLE = 8;

/** The connections that may be closed for others. */
export class WaitingConnections<Connection extends object> {
  /**
   * By address, with the order in which they began to wait, the longest wait
   * first.
   */
  readonly #byAddress = new Map<string, Map<Connection, number>>();
  readonly #addresses = new Map<Connection, string>();
  #sequence = 0;

  /** Adds a connection, or moves it behind all that wait already. */
  add(connection: Connection, address: string): void {
    this.remove(connection);
    const waiting = this.#byAddress.get(address) ?? new Map();
    this.#byAddress.set(address, waiting);
    waiting.set(connection, this.#sequence += 1);
    this.#addresses.set(connection, address);
  }

  has(connection: Connection): boolean {
    return this.#addresses.has(connection);
  }

  remove(connection: Connection): void {
    const address = this.#addresses.get(connection);
    if (address === undefined) return;
    this.#addresses.delete(connection);
    const waiting = this.#byAddress.get(address);
    waiting?.delete(connection);
    if (waiting?.size === 0) this.#byAddress.delete(address);
  }

  /**
   * Finds the longest wait at the address that has the most. Looks at each
   * address, of which there are at most as many as connections.
   */
  findExcess(): Connection | undefined {
    let found: Connection | undefined;
    let most = 0;
    let earliest = 0;
    for (const waiting of this.#byAddress.values()) {
      if (waiting.size < most) continue;
      const [first] = waiting;
      if (first === undefined) continue;
      const [connection, sequence] = first;
      if (waiting.size === most && sequence > earliest) continue;
      found = connection;
      most = waiting.size;
      earliest = sequence;
    }
    return found;
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

/**
 * Bounds the connections of callers and the requests that run for them.
 *
 * The load: many more connections than the process has descriptors or memory
 * for, most of which never send a complete request, or leave early. Beyond the
 * bound, the connection that has waited longest without a complete request is
 * closed, at the address with the most of them, so that an ordinary caller,
 * whose request is complete after a few round trips, still gets in. Streams,
 * which may stay open for minutes, leave a part of the running requests to
 * others.
 */
import { AddressRuns, WaitingConnections } from "./address_shares.ts";

/**
 * Share of the descriptors for callers. Each running request may need another
 * one for its target; the rest is for gateways, the store and files.
 */
const CALLERS_SHARE = 0.45;
/** Share of the memory for connections without a complete request. */
const MEMORY_SHARE = 0.2;
/**
 * What such a connection may hold: 65 to 72 KB were measured for one whose head
 * is 1,900 lines of a few characters.
 */
const CONNECTION_BYTES = 65_536;
/** Connections beyond the running ones, on which others are refused. */
const SPARE_SHARE = 0.125;
const MIN_CONNECTIONS = 16;
/**
 * Share for other gateways of the descriptors that callers and targets leave; the
 * rest is for this gateway's own connections to them, and to the store.
 */
const PEERS_SHARE = 0.75;
/** Share of the running requests that streams leave to others. */
const SHORT_SHARE = 0.125;
/**
 * Requests that a connection may have without a response, where a listener reads
 * several at once; common clients send one, few more than ten.
 */
const MAX_UNANSWERED = 32;

/** The bounds of one process. */
export interface ConnectionBounds {
  readonly maxConnections: number;
  /** Requests that run at the same time, which leaves connections for others. */
  readonly maxRunning: number;
}

/** How long a request's response takes. */
export type ResponseLength =
  /** Sent as a whole. */
  | "short"
  /** A stream, which may stay open. */
  | "long";

/** Computes the bounds from what the process may use. */
export function computeConnectionBounds(
  { memoryBytes, maxDescriptors }: {
    readonly memoryBytes: number;
    readonly maxDescriptors: number;
  },
): ConnectionBounds {
  const maxConnections = Math.max(
    MIN_CONNECTIONS,
    Math.floor(Math.min(
      maxDescriptors * CALLERS_SHARE,
      memoryBytes * MEMORY_SHARE / CONNECTION_BYTES,
    )),
  );
  const spare = Math.ceil(maxConnections * SPARE_SHARE);
  return { maxConnections, maxRunning: maxConnections - spare };
}

/**
 * Computes how many connections other gateways may open, out of the descriptors
 * that callers and the targets of running requests leave.
 */
export function computePeerBound(
  maxDescriptors: number,
  { maxConnections, maxRunning }: ConnectionBounds,
): number {
  const leftDescriptors = maxDescriptors - maxConnections - maxRunning;
  return Math.max(MIN_CONNECTIONS, Math.floor(leftDescriptors * PEERS_SHARE));
}

interface ConnectionEntry {
  /** Requests whose response hasn't ended. */
  unanswered: number;
  running: number;
}

/** The connections of one listener. */
export class ConnectionTable<Connection extends object> {
  readonly #bounds: ConnectionBounds;
  readonly #entries = new Map<Connection, ConnectionEntry>();
  /** Also of closed connections, whose requests may still run. */
  readonly #addresses = new WeakMap<Connection, string>();
  /** Those without a running request. */
  readonly #waiting = new WaitingConnections<Connection>();
  readonly #runs: AddressRuns;
  readonly #streams: AddressRuns;

  constructor(bounds: ConnectionBounds) {
    this.#bounds = bounds;
    const { maxRunning } = bounds;
    this.#runs = new AddressRuns(maxRunning);
    this.#streams = new AddressRuns(
      maxRunning - Math.floor(maxRunning * SHORT_SHARE),
    );
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Whether another request may run. */
  get canRun(): boolean {
    return this.#runs.hasRoom;
  }

  /** Lists the open connections. */
  list(): Iterable<Connection> {
    return this.#entries.keys();
  }

  /** Adds a connection; returns the one to close for it, if there are too many. */
  add(connection: Connection, address = ""): Connection | undefined {
    this.#entries.set(connection, { unanswered: 0, running: 0 });
    this.#addresses.set(connection, address);
    this.#waiting.add(connection, address);
    if (this.#entries.size <= this.#bounds.maxConnections) return undefined;
    // The new one itself, if all others run requests.
    const excess = this.#waiting.findExcess();
    if (excess !== undefined) this.remove(excess);
    return excess;
  }

  /** Removes a closed connection; its requests may still run. */
  remove(connection: Connection): void {
    this.#entries.delete(connection);
    this.#waiting.remove(connection);
  }

  /**
   * Counts a request whose head arrived; false if its connection is closed or
   * sent too many without waiting for responses.
   */
  openRequest(connection: Connection): boolean {
    const entry = this.#entries.get(connection);
    if (entry === undefined || entry.unanswered >= MAX_UNANSWERED) return false;
    entry.unanswered += 1;
    const isFirst = entry.unanswered === 1;
    if (isFirst && this.#waiting.has(connection)) {
      this.#waiting.add(connection, this.#findAddress(connection));
    }
    return true;
  }

  /** Counts the end of a response. */
  closeRequest(connection: Connection): void {
    const entry = this.#entries.get(connection);
    if (entry !== undefined) entry.unanswered -= 1;
  }

  /**
   * Counts a complete request as running; false if too many run, in all or of
   * its address.
   */
  startRun(connection: Connection, length: ResponseLength = "short"): boolean {
    const address = this.#findAddress(connection);
    const counts = this.#listCounts(length);
    if (!counts.every((count) => count.canStart(address))) return false;
    for (const count of counts) count.add(address);
    const entry = this.#entries.get(connection);
    if (entry !== undefined) {
      entry.running += 1;
      this.#waiting.remove(connection);
    }
    return true;
  }

  /** Counts the end of a run, after which the caller has to read its response. */
  endRun(connection: Connection, length: ResponseLength = "short"): void {
    const address = this.#findAddress(connection);
    for (const count of this.#listCounts(length)) count.remove(address);
    const entry = this.#entries.get(connection);
    if (entry === undefined) return;
    entry.running -= 1;
    if (entry.running === 0) this.#waiting.add(connection, address);
  }

  #findAddress(connection: Connection): string {
    return this.#addresses.get(connection) ?? "";
  }

  #listCounts(length: ResponseLength): readonly AddressRuns[] {
    return length === "long" ? [this.#runs, this.#streams] : [this.#runs];
  }
}

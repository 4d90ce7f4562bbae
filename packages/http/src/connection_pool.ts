/**
 * The open connections to one peer, each used by one exchange at a time.
 *
 * A connection isn't reused until `reuseDelayMs` after its last response. Bytes
 * that a peer sends after a complete response then arrive on an idle connection
 * and end it, instead of being read as the start of the next response.
 */
import type { Socket } from "node:net";
import type { buildConnector, Client } from "undici";
import UndiciClient from "undici/lib/dispatcher/client.js";
import type { OpenedSocket, SocketOpener } from "./open_socket.ts";
import type { UsedConnections } from "./used_connections.ts";

/** Settings of a pool. */
export interface ConnectionPoolOptions {
  /** For instance `http://10.0.0.4:8000`. */
  readonly baseUrl: string;
  /** Longest wait until a new connection is established. */
  readonly connectTimeoutMs: number;
  /** Longest time that a connection stays open without use. */
  readonly idleMs: number;
  /** Shortest time between a response and the next use of its connection. */
  readonly reuseDelayMs: number;
  readonly openSocket: SocketOpener;
}

/** One connection, opened when the first request is sent on it. */
export interface PooledConnection {
  readonly client: Client;
  /** Whether the connection ended with an error rather than a regular close. */
  readonly hasFailed: () => boolean;
  /** Whether the peer closed its side in an orderly way, all sent. */
  readonly hasPeerEnded: () => boolean;
  /** Bytes that the peer has sent on the connection. */
  readonly countBytesRead: () => number;
  /** Whether another exchange may use the connection. */
  readonly isUsable: () => boolean;
  /** Called whenever bytes have arrived, before they're parsed. */
  handleBytes: (() => void) | undefined;
  reusableAtMs: number;
  /** Whether the connection carried an earlier exchange. */
  isReused: boolean;
}

/** The connections to one peer. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #all = new Set<PooledConnection>();
  #idle: PooledConnection[] = [];

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /**
   * Acquires a connection for one exchange; `fresh` requires a new one. None of
   * the `used` ones is acquired, but a new one replaces one of them, since peers
   * limit how many are open.
   */
  acquire(fresh: boolean, used?: UsedConnections): PooledConnection {
    if (fresh) return this.#open();
    this.#removeUnusable();
    const nowMs = performance.now();
    const index = this.#idle.findLastIndex((each) =>
      each.reusableAtMs <= nowMs && used?.has(each) !== true
    );
    const [connection] = index < 0 ? [] : this.#idle.splice(index, 1);
    if (connection !== undefined) return connection;
    const usedAt = this.#idle.findIndex((each) => used?.has(each) === true);
    const [replaced] = usedAt < 0 ? [] : this.#idle.splice(usedAt, 1);
    if (replaced !== undefined) this.remove(replaced);
    return this.#open();
  }

  /** Returns a connection to the pool after a complete response. */
  release(connection: PooledConnection): void {
    if (!this.#all.has(connection)) return this.#closeNow(connection);
    if (!connection.isUsable()) return this.remove(connection);
    connection.reusableAtMs = performance.now() + this.#options.reuseDelayMs;
    connection.isReused = true;
    this.#idle.push(connection);
  }

  /** Closes a connection that must not be used again. */
  remove(connection: PooledConnection): void {
    this.#all.delete(connection);
    this.#closeNow(connection);
  }

  /** Closes every idle connection. */
  closeIdle(): void {
    const idle = this.#idle;
    this.#idle = [];
    for (const connection of idle) this.remove(connection);
  }

  /** Closes the connection that has been idle the longest, if there's one. */
  closeLongestIdle(): boolean {
    const longest = this.#idle.shift();
    if (longest === undefined) return false;
    this.remove(longest);
    return true;
  }

  /** Closes idle connections now and the others once they are released. */
  async closeWhenIdle(): Promise<void> {
    const all = [...this.#all];
    this.#all.clear();
    this.#idle = [];
    await Promise.allSettled(all.map(({ client }) => client.close()));
  }

  /** Closes every connection; running exchanges end as broken. */
  async close(): Promise<void> {
    const all = [...this.#all];
    this.#all.clear();
    this.#idle = [];
    await Promise.allSettled(all.map(({ client }) => client.destroy()));
  }

  #removeUnusable(): void {
    const unusable = this.#idle.filter((each) => !each.isUsable());
    if (unusable.length === 0) return;
    this.#idle = this.#idle.filter((each) => !unusable.includes(each));
    for (const connection of unusable) this.remove(connection);
  }

  #open(): PooledConnection {
    let failed = false;
    let current: OpenedSocket | undefined;
    const client = new UndiciClient(this.#options.baseUrl, {
      connect: (options, report) => {
        void this.#connect(options, report).then((opened) => {
          if (opened === undefined) return;
          current = opened;
          failed = false;
          opened.socket.on("readable", () => connection.handleBytes?.());
          opened.socket.on("error", () => failed = true);
          // A stream that reaches the peer otherwise has what is used of it.
          report(null, opened.socket as Socket);
        });
      },
      pipelining: 1,
      keepAliveTimeout: this.#options.idleMs,
      keepAliveMaxTimeout: this.#options.idleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection: PooledConnection = {
      client,
      hasFailed: () => failed,
      hasPeerEnded: () => current?.hasPeerEnded() ?? false,
      countBytesRead: () => current?.countBytesRead() ?? 0,
      isUsable: () => current?.isUsable() ?? true,
      handleBytes: undefined,
      reusableAtMs: 0,
      isReused: false,
    };
    this.#all.add(connection);
    return connection;
  }

  /** Opens the socket; undefined after its failure was reported. */
  async #connect(
    { hostname, port }: buildConnector.Options,
    report: buildConnector.Callback,
  ): Promise<OpenedSocket | undefined> {
    const { openSocket, connectTimeoutMs } = this.#options;
    const address = { host: hostname, port: Number(port) };
    try {
      return await openSocket(address, connectTimeoutMs);
    } catch (error) {
      report(error instanceof Error ? error : new Error(String(error)), null);
      return undefined;
    }
  }

  #closeNow(connection: PooledConnection): void {
    connection.client.destroy().catch(handleLastError);
  }
}

function handleLastError(): void {
  // The connection is being discarded, so its last error is irrelevant.
}

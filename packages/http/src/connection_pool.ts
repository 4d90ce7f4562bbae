/**
 * The open connections to one peer, each used by one exchange at a time.
 *
 * A connection rests for a moment after an answer before it's used again, so
 * that bytes a peer sends after a complete answer are seen on an idle
 * connection, where they end it, instead of ahead of the next answer.
 */
import { connect, type Socket } from "node:net";
import type { buildConnector, Client } from "undici";
import UndiciClient from "undici/lib/dispatcher/client.js";

/** Settings of a pool. */
export interface ConnectionPoolOptions {
  /** For instance `http://10.0.0.4:8000`. */
  readonly baseUrl: string;
  /** Longest wait until a new connection is established. */
  readonly connectTimeoutMs: number;
  /** Longest time that a connection stays open without use. */
  readonly idleMs: number;
  /** Shortest time between an answer and the next use of its connection. */
  readonly restMs: number;
}

/** One connection; it opens when the first request is sent on it. */
export interface PooledConnection {
  readonly client: Client;
  /** Whether the connection ended with an error instead of a plain close. */
  readonly hasFailed: () => boolean;
  restsUntilMs: number;
}

/** The connections to one peer. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #all = new Set<PooledConnection>();
  #idle: PooledConnection[] = [];

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /** Takes a connection for one exchange; `fresh` asks for a new one. */
  take(fresh: boolean): PooledConnection {
    if (fresh) return this.#open();
    const nowMs = performance.now();
    const index = this.#idle.findLastIndex((each) =>
      each.restsUntilMs <= nowMs
    );
    if (index < 0) return this.#open();
    const [connection] = this.#idle.splice(index, 1);
    return connection ?? this.#open();
  }

  /** Gives a connection back after a complete answer. */
  release(connection: PooledConnection): void {
    if (!this.#all.has(connection)) return this.#end(connection);
    connection.restsUntilMs = performance.now() + this.#options.restMs;
    this.#idle.push(connection);
  }

  /** Closes a connection that must not be used again. */
  remove(connection: PooledConnection): void {
    this.#all.delete(connection);
    this.#end(connection);
  }

  /** Closes every idle connection. */
  closeIdle(): void {
    const idle = this.#idle;
    this.#idle = [];
    for (const connection of idle) this.remove(connection);
  }

  /** Closes idle connections now and the others when they are released. */
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

  #open(): PooledConnection {
    let failed = false;
    const client = new UndiciClient(this.#options.baseUrl, {
      connect: (options, report) => {
        const socket = openSocket(
          { host: options.hostname, port: Number(options.port) },
          this.#options.connectTimeoutMs,
          report,
        );
        socket.on("error", () => failed = true);
      },
      pipelining: 1,
      keepAliveTimeout: this.#options.idleMs,
      keepAliveMaxTimeout: this.#options.idleMs,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // A closed socket reopens on the next request; it may be idle again.
    client.on("connect", () => failed = false);
    const connection: PooledConnection = {
      client,
      hasFailed: () => failed,
      restsUntilMs: 0,
    };
    this.#all.add(connection);
    return connection;
  }

  #end(connection: PooledConnection): void {
    connection.client.destroy().catch(handleLastError);
  }
}

function openSocket(
  address: { readonly host: string; readonly port: number },
  timeoutMs: number,
  report: buildConnector.Callback,
): Socket {
  const socket = connect({ ...address, noDelay: true });
  const timer = setTimeout(
    () => socket.destroy(new Error(`no connection in ${timeoutMs} ms`)),
    timeoutMs,
  );
  const handleFailure = (error: Error) => {
    clearTimeout(timer);
    report(error, null);
  };
  socket.once("error", handleFailure);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.off("error", handleFailure);
    report(null, socket);
  });
  return socket;
}

function handleLastError(): void {
  // The connection is being given up; its last error has no reader.
}

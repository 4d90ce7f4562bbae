/**
 * HTTP exchanges with one peer, each sent at most once.
 *
 * A request is `not_sent` only if no byte of it was written to a connection.
 * Every other exchange without a complete response is `broken`: the peer may
 * have acted on the request. A response without a length is complete once the
 * peer has closed its side in an orderly way, after the whole request was
 * written. A status outside 100 to 599 is no response. The HTTP library never
 * retries a request by itself.
 * After a silence timeout, all idle connections to the peer are closed as well.
 */
import type { Dispatcher } from "undici";
import { ConnectionPool, type PooledConnection } from "./connection_pool.ts";
import { openDirectly, type SocketOpener } from "./open_socket.ts";
import { isDelimited, isStatus, ResponseFraming } from "./response_framing.ts";
import { buildDispatchOptions } from "./dispatch_options.ts";
import type { UsedConnections } from "./used_connections.ts";

/** Default limit on establishing a connection. */
const CONNECT_TIMEOUT_MS = 2_000;
/** Common servers close idle connections after five seconds. */
const KEEP_ALIVE_MS = 4_000;

/** One request to a peer. */
export interface PeerRequest {
  readonly method: string;
  readonly path: string;
  /** By name, or as a list in which names and values alternate. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body?: string | Uint8Array;
  /** Longest wait for the next byte, counted from the start. */
  readonly silenceTimeoutMs: number;
  /** Whether to open a new connection for this request. */
  readonly freshConnection: boolean;
  /** Connections that must not carry this request; its own is added. */
  readonly usedConnections?: UsedConnections;
}

/** Headers of a response, by lower-case name. */
export type PeerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** How an exchange ended. */
export type ExchangeEnd =
  | { readonly kind: "ended" }
  /** No byte of the request was written. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The request may have reached the peer; the response is incomplete. */
  | { readonly kind: "broken"; readonly detail: string };

/** Receives the parts of a response. `handleEnd` is called exactly once. */
export interface ResponseReceiver {
  handleHead(status: number, headers: PeerHeaders): void;
  handleData(chunk: Uint8Array): void;
  handleEnd(end: ExchangeEnd): void;
}

/** A running exchange. */
export interface Exchange {
  /** Aborts without a further callback. Has no effect once it has ended. */
  cancel(): void;
  /** Whether a byte of the request may have been written. */
  readonly wasSent: boolean;
  /** Whether the connection carried an earlier exchange. */
  readonly isReused: boolean;
  /** Stops reading the response until `resume`. */
  pause(): void;
  resume(): void;
}

/** Settings of a connection to a peer. */
export interface PeerConnectionOptions {
  /** For instance `http://10.0.0.4:8000`. */
  readonly baseUrl: string;
  readonly connectTimeoutMs?: number;
  /** Longest time that a connection stays open without use. */
  readonly idleMs?: number;
  /** Shortest time between a response and the next use of its connection. */
  readonly reuseDelayMs?: number;
  /** Opens the connections; directly if absent. */
  readonly openSocket?: SocketOpener;
}

/** The connections to one peer. */
export class PeerConnection {
  readonly #pool: ConnectionPool;

  constructor(options: PeerConnectionOptions) {
    this.#pool = new ConnectionPool({
      baseUrl: options.baseUrl,
      connectTimeoutMs: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      idleMs: options.idleMs ?? KEEP_ALIVE_MS,
      reuseDelayMs: options.reuseDelayMs ?? 0,
      openSocket: options.openSocket ?? openDirectly,
    });
  }

  /** Sends a request and reports the response as it arrives. */
  start(request: PeerRequest, receiver: ResponseReceiver): Exchange {
    const { freshConnection, usedConnections } = request;
    const connection = this.#pool.acquire(freshConnection, usedConnections);
    usedConnections?.add(connection);
    const exchange = new RunningExchange(receiver, {
      method: request.method,
      silenceTimeoutMs: request.silenceTimeoutMs,
      connection,
      handleSilenceTimeout: () => this.#pool.closeIdle(),
      handleClose: (isReusable) =>
        isReusable
          ? this.#pool.release(connection)
          : this.#pool.remove(connection),
    });
    try {
      connection.client.dispatch(buildDispatchOptions(request), exchange);
    } catch (error) {
      const failure = error instanceof Error ? error : new Error(String(error));
      queueMicrotask(() => exchange.onResponseError(undefined, failure));
    }
    return exchange;
  }

  /** Closes the connections without an exchange. */
  closeIdle(): void {
    this.#pool.closeIdle();
  }

  /** Closes the connection that has been idle the longest, if there's one. */
  closeLongestIdle(): boolean {
    return this.#pool.closeLongestIdle();
  }

  /** Accepts no new requests and closes once running exchanges have ended. */
  async closeWhenIdle(): Promise<void> {
    await this.#pool.closeWhenIdle();
  }

  /** Closes every connection; running exchanges end as broken. */
  async close(): Promise<void> {
    await this.#pool.close();
  }
}

interface ExchangeHooks {
  readonly method: string;
  readonly silenceTimeoutMs: number;
  readonly connection: PooledConnection;
  handleSilenceTimeout(): void;
  handleClose(isReusable: boolean): void;
}

class RunningExchange implements Exchange, Dispatcher.DispatchHandler {
  readonly #receiver: ResponseReceiver;
  readonly isReused: boolean;
  readonly #hooks: ExchangeHooks;
  readonly #timer: NodeJS.Timeout;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;
  /** Whether the end of the body is marked in the response itself. */
  #isDelimited = true;
  /** Bytes that earlier responses have taken on the connection. */
  #earlierBytes = 0;
  readonly #framing = new ResponseFraming();

  constructor(receiver: ResponseReceiver, hooks: ExchangeHooks) {
    this.#receiver = receiver;
    this.#hooks = hooks;
    this.isReused = hooks.connection.isReused;
    this.#timer = setTimeout(
      () => this.#endTimedOut(),
      hooks.silenceTimeoutMs,
    );
  }

  cancel(): void {
    if (this.#ended) return;
    this.#close(false);
    this.#controller?.abort(new Error("cancelled"));
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  get wasSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Called right before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeat = this.#controller !== undefined;
    this.#controller = controller;
    if (this.#ended || isRepeat) {
      controller.abort(new Error("a request is sent at most once"));
      return;
    }
    const { connection } = this.#hooks;
    this.#earlierBytes = connection.countBytesRead();
    connection.handleBytes = () => this.#checkFraming();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: PeerHeaders,
  ): void {
    if (this.#ended) return;
    if (!isStatus(status)) {
      this.#endFailed(`status ${status} is none of HTTP`);
      this.#controller?.abort(new Error("no status of HTTP"));
      return;
    }
    // Announces a response that follows.
    if (status < 200) {
      this.#framing.recordInterim();
      return this.#checkFraming();
    }
    this.#timer.refresh();
    this.#isDelimited = this.#hooks.method === "HEAD" ||
      isDelimited(status, headers);
    this.#receiver.handleHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#ended) return;
    this.#timer.refresh();
    this.#framing.recordBody(chunk.length);
    this.#receiver.handleData(chunk);
  }

  onResponseEnd(): void {
    // A response without a length ends with its connection, and the library
    // doesn't distinguish a reset or a local close from such an end.
    const { connection } = this.#hooks;
    if (connection.hasFailed()) {
      this.#endFailed("the connection was reset");
    } else if (!this.#isDelimited && !connection.hasPeerEnded()) {
      this.#endFailed("the connection closed before the peer ended it");
    } else {
      this.#end({ kind: "ended" });
    }
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#endFailed(error.message);
  }

  /** Ends a response that is all framing. */
  #checkFraming(): void {
    if (this.#ended) return;
    const bytes = this.#hooks.connection.countBytesRead() - this.#earlierBytes;
    const excess = this.#framing.findExcess(bytes);
    if (excess === undefined) return;
    this.#endFailed(excess);
    this.#controller?.abort(new Error("too much framing"));
  }

  #endTimedOut(): void {
    if (this.#ended) return;
    this.#hooks.handleSilenceTimeout();
    this.#endFailed(`silent for ${this.#hooks.silenceTimeoutMs} ms`);
    this.#controller?.abort(new Error("silence timeout"));
  }

  #endFailed(detail: string): void {
    const kind = this.wasSent ? "broken" : "not_sent";
    this.#end({ kind, detail });
  }

  #end(end: ExchangeEnd): void {
    if (this.#ended) return;
    this.#close(end.kind === "ended");
    this.#receiver.handleEnd(end);
  }

  #close(isReusable: boolean): void {
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#hooks.connection.handleBytes = undefined;
    this.#hooks.handleClose(isReusable);
  }
}

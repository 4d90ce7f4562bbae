/**
 * HTTP exchanges with one peer, each sent at most once.
 *
 * A request is `not_sent` only when no byte of it was written to a connection.
 * Everything else that ends without a whole answer is `broken`: the peer may
 * have acted on it. The HTTP library never repeats a request by itself, and a
 * silent connection is dropped together with the idle ones beside it.
 */
import { Client, type Dispatcher, Pool } from "undici";

const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 4_000;

/** One request to a peer. */
export interface PeerRequest {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Longest wait for the next byte, from the start on. */
  readonly silenceTimeoutMs: number;
  /** Opens a connection for this request alone. */
  readonly freshConnection: boolean;
}

/** Headers of an answer, by lower-case name. */
export type PeerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** How an exchange ended. */
export type ExchangeEnd =
  | { readonly kind: "ended" }
  /** No byte of the request was written. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The request may have reached the peer; the answer isn't whole. */
  | { readonly kind: "broken"; readonly detail: string };

/** Receives the parts of an answer. `handleEnd` is called exactly once. */
export interface AnswerReceiver {
  handleHead(status: number, headers: PeerHeaders): void;
  handleData(chunk: Uint8Array): void;
  handleEnd(end: ExchangeEnd): void;
}

/** A running exchange. */
export interface Exchange {
  /** Stops it without a further report. Has no effect once it has ended. */
  cancel(): void;
  /** Whether a byte of the request may have been written. */
  readonly wasSent: boolean;
}

/** Settings of a connection to a peer. */
export interface PeerConnectionOptions {
  /** For instance `http://10.0.0.4:8000`. */
  readonly baseUrl: string;
  readonly connectTimeoutMs?: number;
  /** Open connections at a time; unlimited when absent. */
  readonly maxConnections?: number;
}

/** The connections to one peer. */
export class PeerConnection {
  readonly #options: PeerConnectionOptions;
  #pool: Pool;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
    this.#pool = this.#createPool();
  }

  /** Sends a request and reports the answer as it arrives. */
  start(request: PeerRequest, receiver: AnswerReceiver): Exchange {
    const client = request.freshConnection ? this.#createClient() : undefined;
    const exchange = new RunningExchange(receiver, {
      silenceTimeoutMs: request.silenceTimeoutMs,
      handleSilence: () => this.#setFreshPool(),
      handleClose: () => client?.destroy().catch(handleLastError),
    });
    const dispatcher = client ?? this.#pool;
    try {
      dispatcher.dispatch(buildDispatchOptions(request), exchange);
    } catch (error) {
      const failure = buildError(error);
      queueMicrotask(() => exchange.onResponseError(undefined, failure));
    }
    return exchange;
  }

  /** Takes nothing new and closes when running exchanges have ended. */
  async closeWhenIdle(): Promise<void> {
    await this.#pool.close();
  }

  /** Closes every connection; running exchanges end as broken. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  #setFreshPool(): void {
    const old = this.#pool;
    this.#pool = this.#createPool();
    old.close().catch(handleLastError);
  }

  #createPool(): Pool {
    return new Pool(this.#options.baseUrl, {
      ...this.#buildClientOptions(),
      connections: this.#options.maxConnections ?? null,
    });
  }

  #createClient(): Client {
    return new Client(this.#options.baseUrl, this.#buildClientOptions());
  }

  #buildClientOptions(): Client.Options {
    return {
      connectTimeout: this.#options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
  }
}

interface ExchangeHooks {
  readonly silenceTimeoutMs: number;
  handleSilence(): void;
  handleClose(): void;
}

class RunningExchange implements Exchange, Dispatcher.DispatchHandler {
  readonly #receiver: AnswerReceiver;
  readonly #hooks: ExchangeHooks;
  readonly #timer: NodeJS.Timeout;
  #controller: Dispatcher.DispatchController | undefined;
  #ended = false;

  constructor(receiver: AnswerReceiver, hooks: ExchangeHooks) {
    this.#receiver = receiver;
    this.#hooks = hooks;
    this.#timer = setTimeout(
      () => this.#endSilent(),
      hooks.silenceTimeoutMs,
    );
  }

  cancel(): void {
    if (this.#ended) return;
    this.#close();
    this.#controller?.abort(new Error("cancelled"));
  }

  get wasSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Called right before the first byte is written. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    const isRepeat = this.#controller !== undefined;
    this.#controller = controller;
    if (this.#ended || isRepeat) {
      controller.abort(new Error("a request is sent once"));
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: PeerHeaders,
  ): void {
    if (this.#ended || status < 200) return;
    this.#timer.refresh();
    this.#receiver.handleHead(status, headers);
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#ended) return;
    this.#timer.refresh();
    this.#receiver.handleData(chunk);
  }

  onResponseEnd(): void {
    this.#end({ kind: "ended" });
  }

  onResponseError(_controller: unknown, error: Error): void {
    this.#endFailed(error.message);
  }

  #endSilent(): void {
    if (this.#ended) return;
    this.#hooks.handleSilence();
    this.#endFailed(`silent for ${this.#hooks.silenceTimeoutMs} ms`);
    this.#controller?.abort(new Error("silent"));
  }

  #endFailed(detail: string): void {
    const kind = this.wasSent ? "broken" : "not_sent";
    this.#end({ kind, detail });
  }

  #end(end: ExchangeEnd): void {
    if (this.#ended) return;
    this.#close();
    this.#receiver.handleEnd(end);
  }

  #close(): void {
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#hooks.handleClose();
  }
}

function buildDispatchOptions(
  request: PeerRequest,
): Dispatcher.DispatchOptions {
  return {
    method: request.method,
    path: request.path,
    headers: { ...request.headers },
    body: request.body ?? null,
    idempotent: false,
  };
}

function buildError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}

function handleLastError(): void {
  // The connection is being given up; its last error has no reader.
}

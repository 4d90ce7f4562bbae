/**
 * A caller's connection, between its TCP socket and the HTTP server: the server
 * gets input in slices, in turns with other connections, and no request before
 * the response to the former one has ended.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { MessageSlicer } from "../decisions/message_slicer.ts";
import type { InputScheduler, InputSource } from "./input_scheduler.ts";

/** The first slice holds the head of most requests. */
const MIN_SLICE_BYTES = 4_096;
/** What one read of a socket returns at most. */
const MAX_SLICE_BYTES = 65_536;
/** Slices that take longer are made smaller. */
const SLICE_MS = 1;
/**
 * How long the input of a connection that is to close is read and dropped. A
 * close with unread input resets the connection, and the caller may lose the
 * response.
 */
const LINGER_MS = 1_000;
const NOTHING = Buffer.alloc(0);

/** The connection of one caller, as the HTTP server uses it. */
export class CallerSocket extends Duplex implements InputSource {
  /** The caller's address, also after the connection has closed. */
  readonly remoteAddress: string | undefined;
  readonly #socket: Socket;
  readonly #scheduler: InputScheduler;
  readonly #slicer = new MessageSlicer();
  #input: Buffer = NOTHING;
  #sliceBytes = MIN_SLICE_BYTES;
  /** Whether the server takes more. */
  #isWanted = false;
  /** The request whose response hasn't ended. */
  #request: IncomingMessage | undefined;
  #hasInputEnded = false;
  /** Whether the server has part of a request's head. */
  #hasPartialHead = false;
  /** How many further bytes are read and dropped, once the rest is. */
  #dropBytes: number | undefined;
  #isLingering = true;

  constructor(socket: Socket, scheduler: InputScheduler) {
    super({ decodeStrings: false });
    this.#socket = socket;
    this.remoteAddress = socket.remoteAddress;
    this.#scheduler = scheduler;
    socket.on("data", (input: Buffer) => this.#addInput(input));
    socket.on("end", () => {
      this.#hasInputEnded = true;
      this.#endInput();
    });
    socket.on("error", (error) => this.destroy(error));
    socket.on("close", () => this.destroy());
    socket.on("timeout", () => this.emit("timeout"));
  }

  get localAddress(): string | undefined {
    return this.#socket.localAddress;
  }

  get localPort(): number | undefined {
    return this.#socket.localPort;
  }

  /** Time without activity after which `timeout` is emitted, in ms. */
  get timeout(): number | undefined {
    return this.#socket.timeout;
  }

  setTimeout(timeoutMs: number, handleTimeout?: () => void): this {
    if (handleTimeout !== undefined) this.once("timeout", handleTimeout);
    this.#socket.setTimeout(timeoutMs);
    return this;
  }

  /** Whether no request is being read and no response is being written. */
  get isIdle(): boolean {
    return this.#request === undefined && !this.#hasPartialHead &&
      this.#input.length === 0;
  }

  get canParse(): boolean {
    return this.#input.length > 0 && this.#isWanted && !this.destroyed &&
      this.#dropBytes === undefined && this.#request?.complete !== true;
  }

  /** Gives the server a slice of the input. */
  parseSlice(): void {
    if (!this.canParse) return;
    const bytes = this.#slicer.takeSlice(this.#input, this.#sliceBytes);
    const slice = this.#input.subarray(0, bytes);
    // An empty view would keep what was read.
    this.#input = bytes === this.#input.length
      ? NOTHING
      : this.#input.subarray(bytes);
    this.#hasPartialHead ||= this.#request === undefined;
    this.#isWanted = this.push(slice);
    this.#updateReading();
    this.#endInput();
  }

  /** Makes the slices of costly input smaller, and those of cheap input larger. */
  recordCost(costMs: number): void {
    if (costMs > SLICE_MS) this.#sliceBytes = MIN_SLICE_BYTES;
    else if (costMs < SLICE_MS / 2) {
      this.#sliceBytes = Math.min(this.#sliceBytes * 2, MAX_SLICE_BYTES);
    }
  }

  /** Holds further requests back until a request's response has ended. */
  startRequest(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    const isChunked = headers["transfer-encoding"] !== undefined;
    this.#slicer.startBody(
      isChunked ? undefined : Number(headers["content-length"] ?? 0),
    );
    this.#request = request;
    this.#hasPartialHead = false;
    response.once("close", () => {
      this.#request = undefined;
      this.#slicer.startHead();
      this.#updateReading();
      this.#scheduler.schedule(this);
    });
  }

  /**
   * Drops the rest of the input. At most so many bytes of it are read; with none
   * the connection closes right after its response.
   */
  stopParsing(maxBytes = Number.POSITIVE_INFINITY): void {
    this.#dropBytes = maxBytes;
    this.#isLingering = maxBytes > 0;
    this.#input = NOTHING;
    this.#scheduler.remove(this);
    this.#updateReading();
  }

  /** Called by the HTTP server after the last response of a connection. */
  destroySoon(): void {
    const isUnread = this.#input.length > 0 ||
      this.#dropBytes !== undefined || this.#request?.complete === false;
    if (isUnread && this.#dropBytes === undefined) this.stopParsing();
    this.end(() => {
      const isLingering = isUnread && this.#isLingering && !this.#hasInputEnded;
      if (!isLingering) return this.destroy();
      const timer = setTimeout(() => this.destroy(), LINGER_MS);
      this.once("close", () => clearTimeout(timer));
      this.#socket.once("end", () => this.destroy());
    });
  }

  override _read(): void {
    this.#isWanted = true;
    this.#scheduler.schedule(this);
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    handleWritten: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, handleWritten);
  }

  override _writev(
    chunks: { chunk: Buffer | string; encoding: BufferEncoding }[],
    handleWritten: (error?: Error | null) => void,
  ): void {
    this.#socket.cork();
    const last = chunks.pop();
    for (const { chunk, encoding } of chunks) {
      this.#socket.write(chunk, encoding);
    }
    if (last !== undefined) {
      this.#socket.write(last.chunk, last.encoding, handleWritten);
    }
    this.#socket.uncork();
  }

  override _final(handleFinished: (error?: Error | null) => void): void {
    this.#socket.end(() => handleFinished());
  }

  override _destroy(
    error: Error | null,
    handleDestroyed: (error?: Error | null) => void,
  ): void {
    this.#input = NOTHING;
    this.#scheduler.remove(this);
    this.#socket.destroy();
    handleDestroyed(error);
  }

  #addInput(input: Buffer): void {
    if (this.#dropBytes !== undefined) {
      this.#dropBytes = Math.max(0, this.#dropBytes - input.length);
      return this.#updateReading();
    }
    this.#input = this.#input.length === 0
      ? input
      : Buffer.concat([this.#input, input]);
    this.#scheduler.schedule(this);
    this.#updateReading();
  }

  #endInput(): void {
    if (this.#hasInputEnded && this.#input.length === 0) this.push(null);
  }

  /** Reads from the socket only while nothing that was read waits. */
  #updateReading(): void {
    const isReading = this.#dropBytes === undefined
      ? this.#input.length === 0
      : this.#dropBytes > 0;
    if (isReading === !this.#socket.isPaused()) return;
    if (isReading) this.#socket.resume();
    else this.#socket.pause();
  }
}

/** Gets the connection of a request to a server with `scheduleInput`. */
export function getCallerSocket({ socket }: IncomingMessage): CallerSocket {
  return socket as Duplex as CallerSocket;
}

/** The open connections of a server. */
export interface OpenConnections {
  add(connection: CallerSocket): void;
  /** Closes the connections that wait for a request. */
  closeIdle(): void;
}

/** Serves a server's connections through `CallerSocket`. */
export function scheduleInput(
  server: Server,
  scheduler: InputScheduler,
  connections: OpenConnections,
): void {
  // Called by `close`; Node.js's own also closes connections whose responses
  // aren't written yet.
  server.closeIdleConnections = () => connections.closeIdle();
  // The server's own handling of connections takes any duplex stream.
  const handlers = server.listeners("connection");
  server.removeAllListeners("connection");
  server.on("connection", (socket: Socket) => {
    const connection = new CallerSocket(socket, scheduler);
    for (const handle of handlers) handle.call(server, connection);
    connections.add(connection);
  });
}

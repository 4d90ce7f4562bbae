/**
 * Listens for connections of the system's own processes, within bounds on their
 * number and on what they make this process hold.
 *
 * The load: a process that fails, or one that isn't the system's, opens many
 * connections, sends lines that don't end, or reads no responses. Beyond the
 * number, the connection that has sent no complete frame for the longest time is
 * closed; beyond the bytes, the one that holds the most.
 */
import { createServer, type Server, type Socket } from "node:net";
import {
  type Frame,
  MAX_LINE_BYTES,
  readFrames,
  writeFrame,
} from "./peer_channel.ts";
import { type ServeAddress, serveAt } from "./serve_at.ts";

/** Default bound on connections; an installation has a few hundred processes. */
const MAX_CONNECTIONS = 1_024;
/** Default bound on incomplete lines: the longest one, and some of common size. */
const MAX_INCOMPLETE_BYTES = 1.25 * MAX_LINE_BYTES;
/**
 * Default bound on unread responses: after a start of all processes, dozens ask
 * one of them for lists of some hundred kilobytes at the same time.
 */
const MAX_UNREAD_BYTES = 4 * MAX_LINE_BYTES;
const LINE_FEED = 10;

/** Why a connection was closed. */
export type FrameServerClosure =
  | "too many connections"
  | "too many bytes of incomplete messages"
  | "too many bytes of unread responses";

/** A connection that another process opened. */
export interface FrameConnection {
  readonly socket: Socket;
  /** Writes a response; the connection is closed if too many are unread. */
  write(frame: Frame): void;
  /** Ends the reading of frames, for what follows on the connection instead. */
  stopReading(): void;
}

/** Settings of a server. */
export interface FrameServerOptions {
  handleFrame(connection: FrameConnection, frame: Frame): void;
  /** Called for each connection that is closed for others. */
  readonly reportClosed?: (reason: FrameServerClosure) => void;
  readonly maxConnections?: number;
  /** Bytes of the lines that aren't complete, of all connections. */
  readonly maxIncompleteBytes?: number;
  /** Bytes of the responses that aren't read, of all connections. */
  readonly maxUnreadBytes?: number;
}

interface ConnectionEntry {
  /** Bytes of the line that isn't complete. */
  lineBytes: number;
}

/** A listener for frames. */
export class FrameServer {
  readonly #options: FrameServerOptions;
  readonly #maxConnections: number;
  readonly #maxIncompleteBytes: number;
  readonly #maxUnreadBytes: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Those that are read; the longest time without a frame first. */
  readonly #entries = new Map<Socket, ConnectionEntry>();
  #lineBytes = 0;

  constructor(options: FrameServerOptions) {
    this.#options = options;
    this.#maxConnections = options.maxConnections ?? MAX_CONNECTIONS;
    this.#maxIncompleteBytes = options.maxIncompleteBytes ??
      MAX_INCOMPLETE_BYTES;
    this.#maxUnreadBytes = options.maxUnreadBytes ?? MAX_UNREAD_BYTES;
    this.#server = createServer(
      { noDelay: true },
      (socket) => this.#add(socket),
    );
  }

  /** Listens; rejects when the address can't be used. */
  serve(address: ServeAddress): Promise<void> {
    return serveAt(this.#server, address);
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #add(socket: Socket): void {
    const entry = { lineBytes: 0 };
    this.#sockets.add(socket);
    this.#entries.set(socket, entry);
    socket.on("close", () => {
      this.#sockets.delete(socket);
      this.#remove(socket);
    });
    const countBytes = (bytes: Buffer) => this.#countBytes(entry, bytes);
    socket.on("data", countBytes);
    const stopReading = readFrames(socket, (frame) => {
      this.#renew(socket);
      this.#options.handleFrame(connection, frame);
    });
    const connection: FrameConnection = {
      socket,
      write: (frame) => this.#write(socket, frame),
      stopReading: () => {
        socket.off("data", countBytes);
        this.#remove(socket);
        stopReading();
      },
    };
    const [longest] = this.#entries.keys();
    if (this.#entries.size > this.#maxConnections) {
      this.#close(longest, "too many connections");
    }
  }

  #countBytes(entry: ConnectionEntry, bytes: Buffer): void {
    const end = bytes.lastIndexOf(LINE_FEED);
    const lineBytes = end < 0
      ? entry.lineBytes + bytes.length
      : bytes.length - end - 1;
    this.#lineBytes += lineBytes - entry.lineBytes;
    entry.lineBytes = lineBytes;
    if (this.#lineBytes <= this.#maxIncompleteBytes) return;
    const largest = this.#findLargest((_socket, each) => each.lineBytes);
    this.#close(largest, "too many bytes of incomplete messages");
  }

  #write(socket: Socket, frame: Frame): void {
    writeFrame(socket, frame);
    if (socket.writableLength <= socket.writableHighWaterMark) return;
    let unreadBytes = 0;
    for (const each of this.#entries.keys()) unreadBytes += each.writableLength;
    if (unreadBytes <= this.#maxUnreadBytes) return;
    const largest = this.#findLargest((each) => each.writableLength);
    this.#close(largest, "too many bytes of unread responses");
  }

  /** Moves a connection to the end of the order in which they're closed. */
  #renew(socket: Socket): void {
    const entry = this.#entries.get(socket);
    if (entry === undefined) return;
    this.#entries.delete(socket);
    this.#entries.set(socket, entry);
  }

  #findLargest(
    countHeld: (socket: Socket, entry: ConnectionEntry) => number,
  ): Socket | undefined {
    let largest: Socket | undefined;
    let mostBytes = 0;
    for (const [socket, entry] of this.#entries) {
      const bytes = countHeld(socket, entry);
      if (bytes <= mostBytes) continue;
      largest = socket;
      mostBytes = bytes;
    }
    return largest;
  }

  #close(socket: Socket | undefined, reason: FrameServerClosure): void {
    if (socket === undefined) return;
    this.#remove(socket);
    socket.destroy();
    this.#options.reportClosed?.(reason);
  }

  #remove(socket: Socket): void {
    const entry = this.#entries.get(socket);
    if (entry === undefined) return;
    this.#lineBytes -= entry.lineBytes;
    entry.lineBytes = 0;
    this.#entries.delete(socket);
  }
}

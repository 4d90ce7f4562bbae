/**
 * A connection to one peer: requests and responses as lines of JSON, with many
 * calls in flight. Messages written at the same time leave in one packet.
 *
 * A call without a response ends at its own time limit. If nothing at all has
 * arrived since the call was sent, the connection counts as unresponsive and is
 * replaced. A call for a large response may exceed its limit while bytes keep
 * arriving, so that a slow link doesn't start the same transfer over and over.
 */
import { connect, isIP, type Socket } from "node:net";
import split from "split2";

/** Longest line; a peer's list of all targets is far shorter. */
export const MAX_LINE_BYTES = 8 * 1_024 * 1_024;
const CONNECT_TIMEOUT_MS = 120;
/** A response counts as arriving until no byte has come for this long. */
const STALL_MS = 250;

/** One line on the wire. `id` pairs a message with its response. */
export interface Frame {
  readonly id: number;
  readonly body: unknown;
}

interface PendingCall {
  readonly resolve: (body: unknown) => void;
  timer: NodeJS.Timeout;
}

/** Address at which a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Whether a received address can be connected to; others throw on use. */
export function isPeerAddress(value: Partial<PeerAddress>): boolean {
  const { host, port } = value;
  return typeof host === "string" && isIP(host) !== 0 &&
    Number.isInteger(port) && (port ?? 0) >= 1 && (port ?? 0) <= MAX_PORT;
}

/** The connection to one peer, opened by the first call. */
export class PeerChannel {
  readonly #address: PeerAddress;
  readonly #pendingCalls = new Map<number, PendingCall>();
  #socket: Socket | undefined;
  #lastId = 0;
  #connections = 0;
  /** When the last complete frame arrived. */
  #lastFrameAtMs = 0;
  /** When the last bytes arrived. */
  #lastBytesAtMs = 0;

  constructor(address: PeerAddress) {
    this.#address = address;
  }

  /** Number of the open connection; undefined while there is none. */
  get connectionId(): number | undefined {
    return this.#socket === undefined ? undefined : this.#connections;
  }

  /**
   * Sends a message; resolves to undefined if no response arrives within
   * `timeoutMs`, or `transferMs` later while bytes keep arriving.
   */
  call(body: unknown, timeoutMs: number, transferMs = 0): Promise<unknown> {
    const socket = this.#socket ??= this.#openConnection();
    const id = this.#lastId += 1;
    const sentAtMs = performance.now();
    const endAtMs = sentAtMs + timeoutMs + transferMs;
    return new Promise((resolve) => {
      const handleTimeout = () => {
        const nowMs = performance.now();
        const isArriving = nowMs - this.#lastBytesAtMs < STALL_MS;
        if (isArriving && nowMs < endAtMs) {
          const extensionMs = Math.min(STALL_MS, endAtMs - nowMs);
          pending.timer = setTimeout(handleTimeout, extensionMs);
          return;
        }
        this.#pendingCalls.delete(id);
        if (this.#lastFrameAtMs < sentAtMs) this.#closeConnection(socket);
        resolve(undefined);
      };
      const timer = setTimeout(handleTimeout, timeoutMs);
      const pending: PendingCall = { resolve, timer };
      this.#pendingCalls.set(id, pending);
      writeFrame(socket, { id, body });
    });
  }

  /** Ends all calls in flight and closes the connection. */
  close(): void {
    if (this.#socket !== undefined) this.#closeConnection(this.#socket);
  }

  #openConnection(): Socket {
    this.#connections += 1;
    const socket = connect({ ...this.#address, noDelay: true });
    const timer = setTimeout(
      () => this.#closeConnection(socket),
      CONNECT_TIMEOUT_MS,
    );
    socket.on("connect", () => clearTimeout(timer));
    socket.on("data", () => this.#lastBytesAtMs = performance.now());
    readFrames(socket, (frame) => this.#handleFrame(frame));
    socket.on("close", () => {
      clearTimeout(timer);
      this.#closeConnection(socket);
    });
    return socket;
  }

  /** Closes a connection, so that the next call opens another one. */
  #closeConnection(socket: Socket): void {
    socket.destroy();
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    this.#endPendingCalls();
  }

  #handleFrame({ id, body }: Frame): void {
    this.#lastFrameAtMs = performance.now();
    const call = this.#pendingCalls.get(id);
    if (call === undefined) return;
    this.#pendingCalls.delete(id);
    clearTimeout(call.timer);
    call.resolve(body);
  }

  #endPendingCalls(): void {
    const pending = [...this.#pendingCalls.values()];
    this.#pendingCalls.clear();
    for (const { timer, resolve } of pending) {
      clearTimeout(timer);
      resolve(undefined);
    }
  }
}

/**
 * Reads frames from a connection; closes it on an invalid frame. Returns a
 * function that ends the reading, for what follows on the connection instead.
 */
export function readFrames(
  socket: Socket,
  handleFrame: (frame: Frame) => void,
): () => void {
  const lines = split(parseFrame, { maxLength: MAX_LINE_BYTES });
  lines.on("data", handleFrame);
  lines.on("error", () => socket.destroy());
  // The `close` event, which follows, handles the end of the connection.
  socket.on("error", () => {});
  socket.pipe(lines);
  return () => {
    socket.unpipe(lines);
    lines.destroy();
  };
}

/** Writes a frame; frames of one event loop iteration leave together. */
export function writeFrame(socket: Socket, frame: Frame): void {
  if (!socket.writable) return;
  if (socket.writableCorked === 0) {
    socket.cork();
    setImmediate(() => socket.uncork());
  }
  socket.write(`${JSON.stringify(frame)}\n`);
}

function parseFrame(line: string): Frame {
  const value: unknown = JSON.parse(line);
  const frame = value as Partial<Frame> | null;
  if (typeof frame?.id !== "number") throw new Error("frame has no numeric id");
  return { id: frame.id, body: frame.body };
}

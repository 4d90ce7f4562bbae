/**
 * The connection to one peer: messages and their answers as lines of JSON, many
 * at a time. Messages of the same moment leave in one packet.
 *
 * A call without an answer ends by its own time limit. If nothing at all has
 * arrived since it was sent, the connection counts as silent and is replaced.
 */
import { connect, type Socket } from "node:net";
import split from "split2";

/** Longest line; a peer's list of all targets is far below it. */
export const MAX_LINE_BYTES = 8 * 1_024 * 1_024;
const CONNECT_TIMEOUT_MS = 120;

/** One line on the wire. `id` pairs a message with its answer. */
export interface Frame {
  readonly id: number;
  readonly body: unknown;
}

interface OpenCall {
  readonly resolve: (body: unknown) => void;
  readonly timer: NodeJS.Timeout;
}

/** Where a peer listens. */
interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** The connection to one peer; it opens with the first call. */
export class PeerChannel {
  readonly #address: PeerAddress;
  readonly #calls = new Map<number, OpenCall>();
  #socket: Socket | undefined;
  #lastId = 0;
  #receivedAtMs = 0;

  constructor(address: PeerAddress) {
    this.#address = address;
  }

  /** Sends a message; absent when no answer arrives in time. */
  call(body: unknown, timeoutMs: number): Promise<unknown> {
    const socket = this.#socket ??= this.#open();
    const id = this.#lastId += 1;
    const sentAtMs = performance.now();
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#calls.delete(id);
        if (this.#receivedAtMs < sentAtMs) this.#remove(socket);
        resolve(undefined);
      }, timeoutMs);
      this.#calls.set(id, { resolve, timer });
      writeFrame(socket, { id, body });
    });
  }

  /** Ends every call and closes the connection. */
  close(): void {
    if (this.#socket !== undefined) this.#remove(this.#socket);
  }

  #open(): Socket {
    const socket = connect({ ...this.#address, noDelay: true });
    const timer = setTimeout(() => this.#remove(socket), CONNECT_TIMEOUT_MS);
    socket.on("connect", () => clearTimeout(timer));
    readFrames(socket, (frame) => this.#handleFrame(frame));
    socket.on("close", () => {
      clearTimeout(timer);
      this.#remove(socket);
    });
    return socket;
  }

  /** Gives a connection up, so that the next call opens another one. */
  #remove(socket: Socket): void {
    socket.destroy();
    if (this.#socket !== socket) return;
    this.#socket = undefined;
    this.#endCalls();
  }

  #handleFrame({ id, body }: Frame): void {
    this.#receivedAtMs = performance.now();
    const call = this.#calls.get(id);
    if (call === undefined) return;
    this.#calls.delete(id);
    clearTimeout(call.timer);
    call.resolve(body);
  }

  #endCalls(): void {
    const open = [...this.#calls.values()];
    this.#calls.clear();
    for (const { timer, resolve } of open) {
      clearTimeout(timer);
      resolve(undefined);
    }
  }
}

/** Reads frames from a connection; what is no frame ends it. */
export function readFrames(
  socket: Socket,
  handleFrame: (frame: Frame) => void,
): void {
  const lines = split(parseFrame, { maxLength: MAX_LINE_BYTES });
  lines.on("data", handleFrame);
  lines.on("error", () => socket.destroy());
  // The end of the connection is handled by its close.
  socket.on("error", () => {});
  socket.pipe(lines);
}

/** Writes a frame; frames of one turn of the event loop leave together. */
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
  if (typeof frame?.id !== "number") throw new Error("a frame has an id");
  return { id: frame.id, body: frame.body };
}

/**
 * A connection to a target through another gateway.
 *
 * What the target sends comes in blocks, each with its length before it, and an
 * empty block marks that the target ended its side in an orderly way. The kernel
 * ends the connections of a killed process in an orderly way, too, and that must
 * not complete a response whose end isn't marked otherwise. What goes to the
 * target is sent as it is.
 */
import type { Socket } from "node:net";
import { Duplex } from "node:stream";

const LENGTH_BYTES = 4;

/** Encodes the length of a block. */
export function encodeBlockLength(length: number): Buffer {
  const bytes = Buffer.alloc(LENGTH_BYTES);
  bytes.writeUInt32BE(length);
  return bytes;
}

/** The near end of the connection. */
export class RelayedConnection extends Duplex {
  readonly #socket: Socket;
  #bytesRead = 0;
  #hasPeerEnded = false;
  /** Whether bytes for the target waited here when it ended its side. */
  #hadUnsent = false;
  #lengthBytes: Buffer = Buffer.alloc(0);
  /** Bytes of the current block that haven't arrived. */
  #blockLeft = 0;

  constructor(socket: Socket) {
    // As a socket does, it ends its side when the peer has ended the other.
    super({ allowHalfOpen: false });
    this.#socket = socket;
    socket.on("data", (bytes: Buffer) => this.#handleData(bytes));
    socket.on("error", (error) => this.destroy(error));
    socket.on("close", () => {
      if (!this.#hasPeerEnded) this.destroy(new Error("the relay closed"));
    });
  }

  get bytesRead(): number {
    return this.#bytesRead;
  }

  /** Whether the target ended its side in an orderly way, all sent to it. */
  get hasPeerEnded(): boolean {
    return this.#hasPeerEnded && !this.#hadUnsent;
  }

  override _read(): void {
    this.#socket.resume();
  }

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    handleWritten: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, handleWritten);
  }

  override _final(handleEnded: () => void): void {
    this.#socket.end(handleEnded);
  }

  override _destroy(
    error: Error | null,
    handleDestroyed: (error: Error | null) => void,
  ): void {
    this.#socket.destroy();
    handleDestroyed(error);
  }

  #handleData(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0 && !this.#hasPeerEnded) {
      if (this.#blockLeft > 0) {
        const part = rest.subarray(0, this.#blockLeft);
        rest = rest.subarray(part.length);
        this.#blockLeft -= part.length;
        this.#bytesRead += part.length;
        if (!this.push(part)) this.#socket.pause();
        continue;
      }
      const missing = LENGTH_BYTES - this.#lengthBytes.length;
      this.#lengthBytes = Buffer.concat([
        this.#lengthBytes,
        rest.subarray(0, missing),
      ]);
      rest = rest.subarray(missing);
      if (this.#lengthBytes.length < LENGTH_BYTES) return;
      this.#blockLeft = this.#lengthBytes.readUInt32BE();
      this.#lengthBytes = Buffer.alloc(0);
      if (this.#blockLeft === 0) this.#endReading();
    }
  }

  #endReading(): void {
    this.#hasPeerEnded = true;
    this.#hadUnsent = this.writableLength + this.#socket.writableLength > 0;
    this.push(null);
  }
}

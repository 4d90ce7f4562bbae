/**
 * Opens connections to peers. An opener other than the direct one reaches a peer
 * through others.
 */
import { connect } from "node:net";
import type { Duplex } from "node:stream";

/** Where a peer listens. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** An established connection. */
export interface OpenedSocket {
  readonly socket: Duplex;
  /**
   * Whether the peer closed its side in an orderly way, once all that was
   * written to it had been sent. A peer that ends before it was sent a whole
   * request has failed, or is about to reset the connection.
   */
  readonly hasPeerEnded: () => boolean;
  /** Bytes that the peer has sent. */
  readonly countBytesRead: () => number;
  /** Whether another exchange may use the connection. */
  readonly isUsable: () => boolean;
}

/** Opens a connection; rejects if none is established within `timeoutMs`. */
export type SocketOpener = (
  address: SocketAddress,
  timeoutMs: number,
) => Promise<OpenedSocket>;

/** Opens a connection to the address itself. */
export function openDirectly(
  address: SocketAddress,
  timeoutMs: number,
): Promise<OpenedSocket> {
  return new Promise((resolve, reject) => {
    const socket = connect({ ...address, noDelay: true });
    let hasPeerEnded = false;
    const timer = setTimeout(() => {
      // After a pause of this process, the connection may be established and
      // its event still due.
      setImmediate(() => {
        if (!socket.connecting) return;
        const detail = `no connection established within ${timeoutMs} ms`;
        socket.destroy(new Error(detail));
      });
    }, timeoutMs);
    socket.on("error", (error) => {
      clearTimeout(timer);
      reject(error);
    });
    // Data and a reset that arrive together are reported as an end; only a
    // connection that wasn't reset still has a peer.
    socket.on("end", () =>
      hasPeerEnded = socket.remoteAddress !== undefined &&
        socket.writableLength === 0);
    socket.once("connect", () => {
      clearTimeout(timer);
      resolve({
        socket,
        hasPeerEnded: () => hasPeerEnded,
        countBytesRead: () => socket.bytesRead,
        isUsable: () => true,
      });
    });
  });
}

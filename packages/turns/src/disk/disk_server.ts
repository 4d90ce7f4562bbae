/**
 * Listens for the messages of gateways and other disks.
 */
import { createServer, type Server, type Socket } from "node:net";
import {
  type Frame,
  readFrames,
  serveAt,
  writeFrame,
} from "@camphorlock/channel";
import type { DiskMessage, DiskResponse } from "../messages.ts";

/** Builds the response to a message. Must not reject. */
export type HandleDiskMessage = (message: DiskMessage) => Promise<DiskResponse>;

/** The server of one disk. */
export class DiskServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #handleMessage: HandleDiskMessage;

  constructor(handleMessage: HandleDiskMessage) {
    this.#handleMessage = handleMessage;
    this.#server = createServer({ noDelay: true }, (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
      readFrames(socket, (frame) => void this.#handleFrame(socket, frame));
    });
  }

  /** Listens; rejects when the address can't be used. */
  serve(
    { host, port }: { readonly host: string; readonly port: number },
  ): Promise<void> {
    return serveAt(this.#server, { host, port });
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #handleFrame(socket: Socket, { id, body }: Frame): Promise<void> {
    const response = await this.#handleMessage(body as DiskMessage);
    writeFrame(socket, { id, body: response });
  }
}

/**
 * Listens for the messages of gateways and other disks.
 */
import {
  type Frame,
  type FrameConnection,
  FrameServer,
  type FrameServerClosure,
  type ServeAddress,
} from "@camphorlock/channel";
import type { DiskMessage, DiskResponse } from "../messages.ts";

/** Builds the response to a message. Must not reject. */
export type HandleDiskMessage = (message: DiskMessage) => Promise<DiskResponse>;

/** The server of one disk. */
export class DiskServer {
  readonly #server: FrameServer;
  readonly #handleMessage: HandleDiskMessage;

  /** `reportClosed` is called for each connection that's closed for others. */
  constructor(
    handleMessage: HandleDiskMessage,
    reportClosed: (reason: FrameServerClosure) => void,
  ) {
    this.#handleMessage = handleMessage;
    this.#server = new FrameServer({
      handleFrame: (connection, frame) =>
        void this.#handleFrame(connection, frame),
      reportClosed,
    });
  }

  /** Listens; rejects when the address can't be used. */
  serve({ host, port }: ServeAddress): Promise<void> {
    return this.#server.serve({ host, port });
  }

  close(): void {
    this.#server.close();
  }

  async #handleFrame(
    connection: FrameConnection,
    { id, body }: Frame,
  ): Promise<void> {
    const response = await this.#handleMessage(body as DiskMessage);
    connection.write({ id, body: response });
  }
}

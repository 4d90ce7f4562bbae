import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { readFrames, writeFrame } from "@camphorlock/channel";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import { buildPeer } from "../peer_fixture_test.ts";

/** Answers as a build of version 1, which closes on unknown kinds. */
export class OldBuild {
  readonly received: string[] = [];
  info: PeerInfo = buildPeer("old", { bootId: "old" });
  closed = 0;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => {
    this.#sockets.add(socket);
    readFrames(socket, ({ id, body }) => {
      const { kind } = (body as { message: { kind: string } }).message;
      this.received.push(kind);
      if (kind === "hello") {
        return writeFrame(socket, { id, body: { from: this.info } });
      }
      this.closed += 1;
      socket.destroy();
    });
  });

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = this.#server.address() as AddressInfo;
    this.info = { ...this.info, port };
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

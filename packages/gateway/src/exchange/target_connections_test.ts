import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { expect } from "chai";
import { openDirectly, runBufferedExchange } from "@camphorlock/http/exchange";
import type { Target } from "../model/target.ts";
import { TargetConnections } from "./target_connections.ts";

const RUNNING = 10;
const MAX_OPEN = 12;
const LIMITS = { totalTimeoutMs: 5_000, maxBytes: 100 };

// Connections that had just become idle aren't reused for a moment, so that a
// series of requests took twice as many descriptors as ran at the same time.
describe("the connections to targets", () => {
  let servers: Server[];
  let connections: TargetConnections;
  let mostOpen: number;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    mostOpen = 0;
    servers = Array.from({ length: 2 }, () =>
      createServer((socket) => {
        sockets.add(socket);
        mostOpen = Math.max(mostOpen, sockets.size);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => {});
        socket.on("data", () =>
          setTimeout(
            () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
            20,
          ));
      }));
    for (const server of servers) {
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve())
      );
    }
    connections = new TargetConnections(
      ({ host, port }, timeoutMs) => openDirectly({ host, port }, timeoutMs),
      { maxOpen: MAX_OPEN },
    );
  });

  afterEach(async () => {
    await connections.close();
    for (const socket of sockets) socket.destroy();
    for (const server of servers) server.close();
  });

  async function call(at: number): Promise<string> {
    const server = servers[at % servers.length] as Server;
    const target = {
      id: `t${at % servers.length}`,
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
    } as Target;
    const answer = await runBufferedExchange(connections.get(target), {
      method: "GET",
      path: "/",
      headers: {},
      silenceTimeoutMs: 5_000,
      freshConnection: false,
    }, LIMITS);
    return answer.kind;
  }

  it("are at most as many as allowed, where all others run requests", async () => {
    for (let wave = 0; wave < 5; wave += 1) {
      const kinds = await Promise.all(
        Array.from({ length: RUNNING }, (_, at) => call(at)),
      );
      expect(new Set(kinds)).to.deep.equal(new Set(["answered"]));
    }
    // A closed one is seen by its peer a little later.
    expect(mostOpen).to.be.at.most(MAX_OPEN + 2);
  });

  it("are more where all of them run requests", async () => {
    const kinds = await Promise.all(
      Array.from({ length: MAX_OPEN + 4 }, (_, at) => call(at)),
    );
    expect(new Set(kinds)).to.deep.equal(new Set(["answered"]));
  });
});

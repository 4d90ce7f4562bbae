import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { startBufferedExchange } from "./buffered_response.ts";
import { PeerConnection } from "./peer_connection.ts";

const BODY = Buffer.alloc(1_000_000, 97);

describe("a buffered response", () => {
  let server: Server;
  let connection: PeerConnection;
  let hasLength: boolean;

  beforeEach(async () => {
    server = createServer((request, response) => {
      request.resume();
      if (hasLength) response.setHeader("content-length", BODY.length);
      response.end(BODY);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    connection = new PeerConnection({ baseUrl: `http://127.0.0.1:${port}` });
  });

  afterEach(async () => {
    await connection.close();
    server.closeAllConnections();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  for (const isKnown of [true, false]) {
    const which = isKnown ? "of known length" : "in chunks";

    // It was paused for bytes that nobody gave any more, until its timeout.
    it(`${which} is read to its end after its caller has left`, async () => {
      hasLength = isKnown;
      let hasLeft = false;
      const waited = new Promise<void>((resolve) => {
        const exchange = startBufferedExchange(connection, {
          method: "POST",
          path: "/run",
          headers: {},
          silenceTimeoutMs: 5_000,
          freshConnection: false,
        }, {
          totalTimeoutMs: 5_000,
          maxBytes: 4_000_000,
          reserve: () => resolve(),
          isDropping: () => hasLeft,
        });
        answer = exchange.answer;
        resume = () => exchange.resume();
      });
      await waited;
      hasLeft = true;
      resume();
      const response = await answer;
      expect(response).to.include({ kind: "answered", status: 200 });
      expect(response.kind === "answered" && response.body.length).to.equal(0);
    });
  }

  let answer: ReturnType<typeof startBufferedExchange>["answer"];
  let resume: () => void;
});

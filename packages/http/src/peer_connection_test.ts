import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { expect } from "chai";
import { PeerConnection, type PeerRequest } from "./peer_connection.ts";
import { UsedConnections } from "./used_connections.ts";
import {
  type BufferedResponse,
  runBufferedExchange,
} from "./buffered_response.ts";

const LIMITS = { totalTimeoutMs: 2_000, maxBytes: 100 };
const REQUEST: PeerRequest = {
  method: "POST",
  path: "/run",
  headers: {},
  body: "x",
  silenceTimeoutMs: 100,
  freshConnection: false,
};
const COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

describe("peer connection", () => {
  let server: Server;
  let connection: PeerConnection;
  let handleRequest: (socket: Socket) => void;
  let requests: number;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    requests = 0;
    handleRequest = (socket) => socket.write(COMPLETE_RESPONSE);
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => socket.destroy());
      socket.on("data", (bytes) => {
        if (!bytes.toString().includes("/run")) return;
        requests += 1;
        handleRequest(socket);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    connection = new PeerConnection({ baseUrl: `http://127.0.0.1:${port}` });
  });

  afterEach(async () => {
    await connection.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  function run(change: Partial<PeerRequest> = {}): Promise<BufferedResponse> {
    return runBufferedExchange(connection, { ...REQUEST, ...change }, LIMITS);
  }

  it("reads a complete response", async () => {
    const response = await run();
    expect(response).to.include({ kind: "answered", status: 200 });
    expect(
      response.kind === "answered" && Buffer.from(response.body).toString(),
    )
      .to.equal("ok");
  });

  // Each left a kilobyte to collect, and 256 KB of them came before an end.
  it("reads a response after some interim responses, not after many", async () => {
    const send = (count: number) => (socket: Socket) =>
      socket.write(
        "HTTP/1.1 102 Processing\r\n\r\n".repeat(count) + COMPLETE_RESPONSE,
      );
    handleRequest = send(120);
    expect(await run()).to.include({ kind: "answered", status: 200 });
    handleRequest = send(1_000);
    expect((await run({ freshConnection: true })).kind).to.equal("broken");
  });

  // The HTTP library reports such a status like any other one.
  for (const status of ["000", "099", "600", "999"]) {
    it(`takes status ${status} for no response`, async () => {
      handleRequest = (socket) =>
        socket.write(`HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`);
      expect((await run()).kind).to.equal("broken");
    });
  }

  it("takes statuses of 100 to 199 for announcements, and 599 for a response", async () => {
    handleRequest = (socket) =>
      socket.write(
        "HTTP/1.1 103 Early Hints\r\n\r\n" +
          "HTTP/1.1 599 X\r\ncontent-length: 2\r\n\r\nok",
      );
    expect(await run()).to.include({ kind: "answered", status: 599 });
  });

  for (const freshConnection of [true, false]) {
    const where = freshConnection ? "a new" : "a reused";
    it(`sends once on ${where} connection that is reset`, async () => {
      await run({ freshConnection });
      await nextTurn();
      handleRequest = (socket) => socket.resetAndDestroy();
      expect((await run({ freshConnection })).kind).to.equal("broken");
      await nextTurn();
      expect(requests).to.equal(2);
    });
  }

  it("reports a response that is shorter than its length as broken", async () => {
    handleRequest = (socket) => socket.end(COMPLETE_RESPONSE.slice(0, -1));
    expect((await run()).kind).to.equal("broken");
  });

  it("takes a response without a length for complete after an orderly end", async () => {
    handleRequest = (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nok");
    const response = await run();
    expect(response.kind).to.equal("answered");
    expect(
      response.kind === "answered" && Buffer.from(response.body).toString(),
    ).to.equal("ok");
  });

  it("reports a response without a length as broken after a reset", async () => {
    handleRequest = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\nok");
      setTimeout(() => socket.resetAndDestroy(), 30);
    };
    expect((await run()).kind).to.equal("broken");
  });

  // The event loop reports data and a reset that arrive together as data and an
  // orderly end.
  it("reports a response without a length as broken after data and a reset at once", async () => {
    handleRequest = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => {
        socket.resetAndDestroy();
        // Both arrive before the connection is read again.
        const endMs = performance.now() + 30;
        while (performance.now() < endMs);
      });
    };
    for (let each = 0; each < 5; each += 1) {
      expect((await run()).kind).to.equal("broken");
    }
  });

  it("aborts a response that is too large or never ends", async () => {
    handleRequest = (socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n${"x".repeat(150)}`,
      );
    expect(await run()).to.deep.equal({
      kind: "broken",
      detail: "the response exceeds the size limit",
    });
    handleRequest = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n");
      const timer = setInterval(() => socket.write("x"), 20);
      socket.once("close", () => clearInterval(timer));
    };
    const limits = { ...LIMITS, totalTimeoutMs: 200 };
    expect(await runBufferedExchange(connection, REQUEST, limits)).to.deep
      .equal({
        kind: "broken",
        detail: "no complete response within 200 ms",
      });
  });

  it("reuses no pooled connection after a silence timeout", async () => {
    await Promise.all([run(), run()]);
    await nextTurn();
    const silent = new Set(sockets);
    expect(silent.size).to.equal(2);
    handleRequest = (socket) => {
      if (!silent.has(socket)) socket.write(COMPLETE_RESPONSE);
    };
    expect((await run()).kind).to.equal("broken");
    expect((await run()).kind).to.equal("answered");
  });

  it("opens no more connections for a request that a full peer refuses", async () => {
    const usedConnections = new UsedConnections();
    const carriers = new Set<Socket>();
    handleRequest = (socket) => {
      carriers.add(socket);
      socket.write(COMPLETE_RESPONSE);
    };
    for (let attempt = 1; attempt <= 12; attempt += 1) {
      await run({ usedConnections });
      await new Promise((resolve) => setTimeout(resolve, 5));
      expect(carriers.size).to.equal(attempt);
      const open = [...sockets].filter(({ destroyed, readableEnded }) =>
        !destroyed && !readableEnded
      );
      expect(open.length).to.be.at.most(1);
    }
    await run();
    expect(carriers.size).to.equal(12);
  });

  it("reports not_sent if no connection can be established", async () => {
    await new Promise<void>((resolve) => server.close(() => resolve()));
    expect((await run()).kind).to.equal("not_sent");
    expect((await run({ freshConnection: true })).kind).to.equal("not_sent");
  });

  it("sends nothing if cancelled before the connection is established", async () => {
    const events: string[] = [];
    const exchange = connection.start(REQUEST, {
      handleHead: () => events.push("head"),
      handleData: () => events.push("data"),
      handleEnd: () => events.push("end"),
    });
    expect(exchange.wasSent).to.equal(false);
    exchange.cancel();
    await run();
    expect(events).to.deep.equal([]);
    expect(requests).to.equal(1);
  });
});

/** A pool offers a connection again on the next turn of the event loop. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { expect } from "chai";
import { PeerConnection, type PeerRequest } from "./peer_connection.ts";
import { runWhole, type WholeAnswer } from "./whole_answer.ts";

const LIMITS = { totalTimeoutMs: 2_000, maxBytes: 100 };
const REQUEST: PeerRequest = {
  method: "POST",
  path: "/run",
  headers: {},
  body: "x",
  silenceTimeoutMs: 100,
  freshConnection: false,
};
const WHOLE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

describe("peer connection", () => {
  let server: Server;
  let connection: PeerConnection;
  let handleRequest: (socket: Socket) => void;
  let requests: number;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    requests = 0;
    handleRequest = (socket) => socket.write(WHOLE);
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

  function run(change: Partial<PeerRequest> = {}): Promise<WholeAnswer> {
    return runWhole(connection, { ...REQUEST, ...change }, LIMITS);
  }

  it("reads a whole answer", async () => {
    const answer = await run();
    expect(answer).to.include({ kind: "answered", status: 200 });
    expect(answer.kind === "answered" && Buffer.from(answer.body).toString())
      .to.equal("ok");
  });

  for (const freshConnection of [true, false]) {
    const where = freshConnection ? "a fresh" : "a kept";
    it(`sends once on ${where} connection that's reset`, async () => {
      await run({ freshConnection });
      await nextTurn();
      handleRequest = (socket) => socket.resetAndDestroy();
      expect((await run({ freshConnection })).kind).to.equal("broken");
      await nextTurn();
      expect(requests).to.equal(2);
    });
  }

  it("tells an answer whose end can't be told as broken", async () => {
    handleRequest = (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nok");
    expect((await run()).kind).to.equal("broken");
    handleRequest = (socket) => socket.end(WHOLE.slice(0, -1));
    expect((await run()).kind).to.equal("broken");
  });

  it("cuts off an answer that's too large or never ends", async () => {
    handleRequest = (socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n${"x".repeat(150)}`,
      );
    expect(await run()).to.deep.equal({
      kind: "broken",
      detail: "the answer is too large",
    });
    handleRequest = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n");
      const timer = setInterval(() => socket.write("x"), 20);
      socket.once("close", () => clearInterval(timer));
    };
    const limits = { ...LIMITS, totalTimeoutMs: 200 };
    expect(await runWhole(connection, REQUEST, limits)).to.deep.equal({
      kind: "broken",
      detail: "no whole answer in 200 ms",
    });
  });

  it("leaves every kept connection behind after a silence", async () => {
    await Promise.all([run(), run()]);
    await nextTurn();
    const silent = new Set(sockets);
    expect(silent.size).to.equal(2);
    handleRequest = (socket) => {
      if (!silent.has(socket)) socket.write(WHOLE);
    };
    expect((await run()).kind).to.equal("broken");
    expect((await run()).kind).to.equal("answered");
  });

  it("says not_sent where no connection comes about", async () => {
    await new Promise<void>((resolve) => server.close(() => resolve()));
    expect((await run()).kind).to.equal("not_sent");
    expect((await run({ freshConnection: true })).kind).to.equal("not_sent");
  });

  it("sends nothing after it was cancelled before the connection", async () => {
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

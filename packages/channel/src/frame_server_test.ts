import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "chai";
import {
  type FrameConnection,
  FrameServer,
  type FrameServerClosure,
} from "./frame_server.ts";
import { type Frame, PeerChannel } from "./peer_channel.ts";

const HOST = "127.0.0.1";
const MAX_HELD_BYTES = 1_000_000;
const CALL_MS = 2_000;

// Connections were bounded by the system alone, and what they sent by the length
// of a line alone.
describe("the listener for other processes", () => {
  let server: FrameServer;
  let port: number;
  let closures: FrameServerClosure[];
  let handle: (connection: FrameConnection, frame: Frame) => void;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    closures = [];
    handle = (connection, { id }) => connection.write({ id, body: "ok" });
    server = new FrameServer({
      handleFrame: (connection, frame) => handle(connection, frame),
      reportClosed: (reason) => closures.push(reason),
      maxConnections: 10,
      maxIncompleteBytes: MAX_HELD_BYTES,
      maxUnreadBytes: MAX_HELD_BYTES,
    });
    port = await findPort();
    await server.serve({ host: HOST, port });
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    server.close();
  });

  function open(): Socket {
    const socket = connect({ host: HOST, port });
    sockets.add(socket);
    socket.on("error", () => {});
    return socket;
  }

  async function callOrdinary(): Promise<unknown> {
    const channel = new PeerChannel({ host: HOST, port });
    const response = await channel.call("hello", CALL_MS);
    channel.close();
    return response;
  }

  it("keeps those that send messages, however many others connect", async () => {
    const channel = new PeerChannel({ host: HOST, port });
    expect(await channel.call("first", CALL_MS)).to.equal("ok");
    const connection = channel.connectionId;
    for (let wave = 0; wave < 5; wave += 1) {
      for (let at = 0; at < 8; at += 1) open();
      expect(await channel.call("again", CALL_MS)).to.equal("ok");
    }
    expect(channel.connectionId).to.equal(connection);
    expect(new Set(closures)).to.deep.equal(new Set(["too many connections"]));
    channel.close();
  });

  it("closes the longest of lines that don't end", async () => {
    const small = open();
    small.write("x".repeat(1_000));
    const large = open();
    const closed = new Promise((resolve) => large.once("close", resolve));
    large.write("x".repeat(MAX_HELD_BYTES + 1));
    await closed;
    expect(await callOrdinary()).to.equal("ok");
    expect(small.destroyed).to.equal(false);
    expect(closures).to.deep.equal(["too many bytes of incomplete messages"]);
  });

  it("counts only what isn't complete", async () => {
    const body = "x".repeat(MAX_HELD_BYTES / 4);
    const channel = new PeerChannel({ host: HOST, port });
    for (let at = 0; at < 20; at += 1) {
      expect(await channel.call(body, CALL_MS)).to.equal("ok");
    }
    expect(closures).to.deep.equal([]);
    channel.close();
  });

  it("closes a connection that reads no responses", async () => {
    const body = "x".repeat(MAX_HELD_BYTES / 2);
    handle = (connection, { id }) => connection.write({ id, body });
    const socket = open().pause();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    // The kernel's buffers take some megabytes.
    for (let at = 0; at < 100; at += 1) {
      socket.write(`{"id":${at},"body":1}\n`);
    }
    while (closures.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(closures).to.deep.equal(["too many bytes of unread responses"]);
    socket.resume();
    await closed;
    handle = (connection, { id }) => connection.write({ id, body: "ok" });
    expect(await callOrdinary()).to.equal("ok");
  });

  // Whoever asks last must not lose the responses that are on their way.
  it("sends lists to many that start at the same time", async () => {
    server.close();
    server = new FrameServer({
      handleFrame: (connection, { id }) =>
        connection.write({ id, body: "x".repeat(300_000) }),
      reportClosed: (reason) => closures.push(reason),
    });
    port = await findPort();
    await server.serve({ host: HOST, port });
    const channels = Array.from(
      { length: 64 },
      () => new PeerChannel({ host: HOST, port }),
    );
    const responses = await Promise.all(
      channels.map((channel) => channel.call("list", CALL_MS)),
    );
    for (const channel of channels) channel.close();
    expect(responses.map((response) => String(response).length))
      .to.deep.equal(channels.map(() => 300_000));
    expect(closures).to.deep.equal([]);
  });

  it("doesn't count what follows the messages of a connection", async () => {
    let isTaken = false;
    handle = ({ stopReading }) => {
      stopReading();
      isTaken = true;
    };
    const socket = open();
    socket.write('{"id":1,"body":1}\n');
    while (!isTaken) await new Promise((resolve) => setImmediate(resolve));
    for (let at = 0; at < 30; at += 1) open();
    handle = (connection, { id }) => connection.write({ id, body: "ok" });
    expect(await callOrdinary()).to.equal("ok");
    expect(socket.destroyed).to.equal(false);
  });
});

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, () => resolve()));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

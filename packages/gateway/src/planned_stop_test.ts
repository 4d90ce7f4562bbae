import { expect } from "chai";
import { connect, type Socket } from "node:net";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  sendCompleteResponse,
  waitUntil,
} from "./gateway_fixture_test.ts";

const GRACE_MS = 4_000;
/** Longer than what is left of the grace period for the late requests. */
const WORK_MS = 2_600;
/** More than the sockets hold; just inside what a gateway forwards. */
const LARGE_BYTES = 4_190_000;
/** After the listener has closed, inside the grace period. */
const SLOW_READ_MS = 3_000;
const ROUTE_TIMEOUT_MS = 3_000;
const LONG_TIMEOUT_MS = 30_000;

describe("a planned stop", () => {
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let port: number;
  let sockets: Socket[];

  beforeEach(async () => {
    fixture = new GatewayFixture();
    sockets = [];
    setTimeouts(1, ROUTE_TIMEOUT_MS);
    target = await fixture.addTarget("t1");
    await fixture.addGateway("g1", {
      bounds: {
        configurationMs: 2_500,
        drainMs: 2_500,
        graceMs: GRACE_MS,
        revocationMs: undefined,
      },
    });
    port = fixture.ports[0] ?? 0;
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await fixture.stop();
  });

  function setTimeouts(version: number, timeoutMs: number): void {
    const configuration = buildConfiguration(version);
    const routes = configuration.routes
      .map((route) => ({ ...route, timeoutMs }));
    fixture.store.put("configuration", "main", { ...configuration, routes });
  }

  /** Opens a connection on which a request is sent later. */
  async function openConnection(): Promise<Socket> {
    const socket = connect({ host: "127.0.0.1", port });
    sockets.push(socket);
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
  }

  /** Sends a request and reads until the connection closes. */
  function sendLate(socket: Socket, path: string): Promise<string> {
    return new Promise((resolve) => {
      let text = "";
      socket.on("data", (bytes) => text += bytes.toString());
      socket.on("error", () => {});
      socket.on("close", () => resolve(text));
      socket.write(
        `POST ${path} HTTP/1.1\r\nhost: a.example\r\nid: late\r\n` +
          `deadline: ${LONG_TIMEOUT_MS}\r\n` +
          "content-length: 0\r\n\r\n",
      );
    });
  }

  it("cuts off no request that comes late in the grace period", async () => {
    target.handle = (request, response) => {
      setTimeout(() => sendCompleteResponse(request, response), WORK_MS);
    };
    const connections = await Promise.all(
      Array.from({ length: 7 }, () => openConnection()),
    );
    const stopped = fixture.gateways[0]?.stop();
    const answers: Promise<string>[] = [];
    for (const socket of connections) {
      await new Promise((resolve) => setTimeout(resolve, 350));
      if (!socket.destroyed) answers.push(sendLate(socket, "/once/1"));
    }
    const texts = await Promise.all(answers);
    await stopped;
    const statuses = texts.map((text) => text.split(" ")[1]);
    // Each request ends with a complete answer, or its connection was closed
    // before the request could be read.
    expect(statuses).not.to.include(undefined);
    expect(statuses.filter((status) => status === "200")).to.have.length(
      target.receivedPaths.length,
    );
    expect(statuses).to.include("200");
    expect(statuses).to.include("503");
    const refusal = texts.find((text) => text.includes(" 503 "));
    expect(refusal).to.match(/^retry-after: 0\r$/m);
  }).timeout(60_000);

  // The process ended once all responses were handed over, not when they were
  // written, and cut those that callers read slowly.
  it("cuts off no response that its caller reads slowly", async () => {
    const body = Buffer.alloc(LARGE_BYTES, "x");
    target.handle = (_request, response) => {
      response.writeHead(200, { signed: "1", "content-length": LARGE_BYTES });
      response.end(body);
    };
    const connections = await Promise.all(
      Array.from({ length: 3 }, () => openConnection()),
    );
    const answers = connections.map((socket) => {
      const answer = sendLate(socket, "/once/1");
      socket.pause();
      return answer;
    });
    await waitUntil(() => target.receivedPaths.length === connections.length);
    await new Promise((resolve) => setTimeout(resolve, 300));
    const stopped = fixture.gateways[0]?.stop();
    setTimeout(() => {
      for (const socket of connections) socket.resume();
    }, SLOW_READ_MS);
    await stopped;
    const lengths = (await Promise.all(answers))
      .map((text) => text.length - text.indexOf("\r\n\r\n") - 4);
    expect(lengths).to.deep.equal(connections.map(() => LARGE_BYTES));
  }).timeout(60_000);

  it("doesn't wait for idle connections", async () => {
    const idle = await openConnection();
    idle.resume();
    const closed = new Promise((resolve) => idle.once("close", resolve));
    const startedAtMs = performance.now();
    await fixture.gateways[0]?.stop();
    await closed;
    expect(performance.now() - startedAtMs).to.be.lessThan(GRACE_MS);
  }).timeout(60_000);

  it("answers a request that its target still holds at the end", async () => {
    setTimeouts(2, LONG_TIMEOUT_MS);
    await waitUntil(() => fixture.lines.some(({ version }) => version === 2));
    target.handle = () => {};
    const held = sendLate(await openConnection(), "/once/1");
    await waitUntil(() => target.receivedPaths.length === 1);
    const stopped = fixture.gateways[0]?.stop();
    expect((await held).split(" ")[1]).to.equal("504");
    await stopped;
  }).timeout(60_000);
});

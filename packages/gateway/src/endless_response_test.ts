import { expect } from "chai";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  buildConfiguration,
  GatewayFixture,
  waitUntil,
} from "./gateway_fixture_test.ts";

const HEAD = "HTTP/1.1 200 OK\r\nsigned: 1\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const PIECE_BYTES = 16_384;
/** Memory that an entry VM of 178 MB has left beside an idle gateway. */
const MAX_GROWTH_BYTES = 96 * 1_024 * 1_024;
const REQUESTS = 6;
/** What the kernel's buffers may take beside what the gateway reads. */
const MAX_WRITTEN_BYTES = 16 * 1_024 * 1_024;

/** The first bytes of a response, and the pieces that follow without end. */
interface EndlessResponse {
  readonly first: string;
  readonly piece: (number: number) => string;
}

const FILLER = "x".repeat(PIECE_BYTES);

const EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(
  400,
);

function buildChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const CASES: Readonly<Record<string, EndlessResponse>> = {
  "bytes that aren't HTTP": { first: FILLER, piece: () => FILLER },
  "a head": { first: HEAD, piece: (number) => `h${number}: ${FILLER}\r\n` },
  "one header": { first: `${HEAD}h: `, piece: () => FILLER },
  "a body": { first: CHUNKED, piece: () => buildChunk(FILLER) },
  "an event": { first: CHUNKED, piece: () => buildChunk(FILLER) },
  "interim responses": { first: EARLY_HINTS, piece: () => EARLY_HINTS },
  "a chunk's extension": { first: `${CHUNKED}1;`, piece: () => FILLER },
  "trailers": {
    first: `${CHUNKED}0\r\n`,
    piece: (number) => `t${number}: x\r\n`,
  },
  "events": {
    first: CHUNKED,
    piece: (number) => buildChunk(`id: ${number}\ndata: x\n\n`),
  },
};

describe("a response without end", () => {
  let fixture: GatewayFixture;
  let server: Server;
  let response: EndlessResponse;
  let writtenBytes: number;
  const sockets = new Set<Socket>();

  beforeEach(async () => {
    writtenBytes = 0;
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      socket.on("error", () => socket.destroy());
      socket.once("data", () => sendEndlessly(socket, response));
      socket.on("close", () => writtenBytes += socket.bytesWritten);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    fixture.store.put("targets", "t1", {
      id: "t1",
      service: "s",
      host: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
      failureDomain: "a",
      state: "ready",
      slots: 4,
      startedAtMs: 1,
    });
    await fixture.addGateway("g1");
  });

  afterEach(async () => {
    await fixture.stop();
    for (const socket of sockets) socket.destroy();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  /** Writes as fast as the gateway reads, until the socket is closed. */
  function sendEndlessly(
    socket: Socket,
    { first, piece }: EndlessResponse,
  ): void {
    let number = 0;
    socket.write(first);
    const writeMore = (): void => {
      if (socket.destroyed) return;
      number += 1;
      if (socket.write(piece(number))) setImmediate(writeMore);
      else socket.once("drain", writeMore);
    };
    writeMore();
  }

  for (const [name, endless] of Object.entries(CASES)) {
    for (const path of ["/safe/1", "/once/1", "/stream/1"]) {
      it(`of ${name} ends ${path} in time and in bounded memory`, async () => {
        response = endless;
        const before = process.memoryUsage().rss;
        const startedAtMs = performance.now();
        const results = await Promise.all(
          Array.from(
            { length: REQUESTS },
            (_, index) =>
              fixture.sendRequest(fixture.ports[0] ?? 0, {
                path,
                headers: { id: `r${index}`, budget: `p${index},500,50` },
              }),
          ),
        );
        // The route's timeout, plus the half second that callers are promised.
        expect(performance.now() - startedAtMs).to.be.below(1_100);
        for (const { status, isComplete } of results) {
          expect(status === 200 && isComplete).to.equal(false);
        }
        await waitUntil(() => sockets.size === 0);
        expect(process.memoryUsage().rss - before)
          .to.be.below(MAX_GROWTH_BYTES);
      });
    }
  }

  // Bytes that carry nothing were read as fast as they came, until the time of
  // the route was over.
  for (
    const name of ["interim responses", "a chunk's extension", "one header"]
  ) {
    it(`of ${name} is closed after a few of them`, async () => {
      response = CASES[name] as EndlessResponse;
      const startedAtMs = performance.now();
      const { status } = await fixture.sendRequest(fixture.ports[0] ?? 0, {
        path: "/once/1",
      });
      expect(status).to.equal(502);
      expect(performance.now() - startedAtMs).to.be.below(400);
      await waitUntil(() => sockets.size === 0);
      expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
    });
  }

  it("of events is forwarded only up to the tokens that the turn declares", async () => {
    response = CASES["events"] as EndlessResponse;
    const { text } = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
      headers: { id: "r", budget: "p,500,50" },
    });
    expect(text.match(/^id:/gm)).to.have.length(5);
  });
});

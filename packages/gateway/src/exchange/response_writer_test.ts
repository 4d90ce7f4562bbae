import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { expect } from "chai";
import { ByteBudget } from "../decisions/byte_budget.ts";
import { CallerWaits } from "../decisions/caller_waits.ts";
import { writeBody } from "./response_writer.ts";

const LARGE = Buffer.alloc(8_000_000, 97);

describe("a response to a caller", () => {
  let server: Server;
  let waits: CallerWaits;
  let budget: ByteBudget;

  beforeEach(async () => {
    waits = new CallerWaits();
    budget = new ByteBudget(100_000_000);
    server = createServer((request, response) => {
      const name = request.url?.slice(1) ?? "";
      const share = budget.open();
      share.reserve(1_000);
      response.once("close", () => share.close());
      const pieces = findPieces(name);
      const write = () => {
        const length = Buffer.concat(pieces).length;
        response.writeHead(200, { "content-length": length });
        writeBody(response, pieces, { share, waits });
      };
      if (name === "late") setTimeout(write, 50);
      else write();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  function open(): ReturnType<typeof connect> {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    return socket;
  }

  for (const name of ["large", "pieces", "empty"]) {
    it(`is complete and in order: ${name}`, async () => {
      const socket = open();
      let received = Buffer.alloc(0);
      socket.on("data", (bytes) => received = Buffer.concat([received, bytes]));
      socket.write(
        `GET /${name} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`,
      );
      await new Promise((resolve) => socket.once("end", resolve));
      const body = received.subarray(received.indexOf("\r\n\r\n") + 4);
      expect(body.equals(Buffer.concat(findPieces(name)))).to.equal(true);
      expect(waits.size).to.equal(0);
    });
  }

  // The time in which a caller must read ran while its connection still waited
  // for an earlier response.
  it("waits for the earlier ones of its connection before it counts as unread", async () => {
    const socket = open();
    let text = "";
    socket.on("data", (bytes) => text += bytes.toString());
    for (const name of ["late", "second", "third"]) {
      socket.write(`GET /${name} HTTP/1.1\r\nHost: x\r\n\r\n`);
    }
    while (budget.usedBytes < 3_000) await waitFor(5);
    expect(waits.size).to.equal(0);
    while (!text.endsWith("third")) await waitFor(5);
    expect(text).to.match(/late[^]*second[^]*third$/);
    while (budget.usedBytes > 0) await waitFor(5);
    expect(waits.size).to.equal(0);
    socket.destroy();
  });

  it("is cut when it's evicted, and releases what it held at once", async () => {
    const socket = open().pause();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    while (waits.size === 0) await waitFor(5);
    expect(waits.evictLongest(Number.POSITIVE_INFINITY)).to.equal(true);
    expect(budget.usedBytes).to.equal(0);
    socket.resume();
    await closed;
    expect(socket.bytesRead).to.be.below(LARGE.length);
  });
});

/** The pieces of the response to a request by name. */
function findPieces(name: string): readonly Buffer[] {
  switch (name) {
    case "large":
      return [LARGE];
    case "empty":
      return [];
    case "pieces":
      // Across the bounds of what is written at once.
      return [1, 262_143, 262_144, 65_536, 300_000, 2].map((length, at) =>
        Buffer.alloc(length, 97 + at)
      );
    default:
      return [Buffer.from(name)];
  }
}

function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

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
      const body = name === "large" ? LARGE : Buffer.from(name);
      const write = () => {
        response.writeHead(200, { "content-length": body.length });
        writeBody(response, [body], { share, waits });
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

function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

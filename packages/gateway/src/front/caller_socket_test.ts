import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { expect } from "chai";
import { getCallerSocket, scheduleInput } from "./caller_socket.ts";
import { InputScheduler } from "./input_scheduler.ts";

const NO_CONNECTIONS = { add: () => {}, closeIdle: () => {} };
const LARGE = Buffer.alloc(4_000_000, 97);

describe("a caller's connection", () => {
  let server: Server;
  let open: number;
  let mostOpen: number;
  let urls: string[];
  let answer: (request: IncomingMessage, response: ServerResponse) => void;

  beforeEach(async () => {
    open = 0;
    mostOpen = 0;
    urls = [];
    answer = (_request, response) => response.end("ok");
    server = createServer((request, response) => {
      urls.push(request.url ?? "");
      open += 1;
      mostOpen = Math.max(mostOpen, open);
      response.once("close", () => open -= 1);
      getCallerSocket(request).startRequest(request, response);
      answer(request, response);
    });
    scheduleInput(server, new InputScheduler(), NO_CONNECTIONS);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
  });

  afterEach(async () => {
    server.closeAllConnections();
    await new Promise<void>((resolve) => server.close(() => resolve()));
  });

  function call(): Socket {
    const { port } = server.address() as AddressInfo;
    const socket = connect({
      host: "127.0.0.1",
      port,
      allowHalfOpen: true,
    });
    socket.on("error", () => {});
    return socket;
  }

  /** Reads until the text ends as expected, or the connection does. */
  function read(socket: Socket, isEnd: (text: string) => boolean) {
    return new Promise<string>((resolve) => {
      let text = "";
      socket.on("data", (bytes) => {
        text += bytes.toString("latin1");
        if (isEnd(text)) resolve(text);
      });
      socket.once("end", () => resolve(text));
      socket.once("close", () => resolve(text));
    });
  }

  function countResponses(text: string): number {
    return text.split("HTTP/1.1 200").length - 1;
  }

  // All requests of a read were begun at once, each with its own response.
  it("begins a request once the response to the former one has ended", async () => {
    const socket = call();
    answer = (_request, response) =>
      void setTimeout(() => response.end("ok"), 1);
    const paths = Array.from({ length: 100 }, (_, at) => `/${at}`);
    socket.write(
      paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(""),
    );
    await read(socket, (text) => countResponses(text) === 100);
    expect(urls).to.deep.equal(paths);
    expect(mostOpen).to.equal(1);
    socket.destroy();
  });

  it("carries bodies of any framing in any pieces", async () => {
    const bodies: string[] = [];
    answer = (request, response) => {
      let body = "";
      request.on("data", (bytes) => body += String(bytes));
      request.on("end", () => {
        bodies.push(body);
        response.end("ok");
      });
    };
    const text = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n" +
      "x\r\n\r\ny\r\n\r\n" +
      "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
      "4\r\n\r\n\r\n\r\n1;a=b\r\nz\r\n0\r\nt: u\r\n\r\n";
    for (const pieceBytes of [1, 2, 3, 7, text.length]) {
      const socket = call().setNoDelay(true);
      const done = read(socket, (received) => countResponses(received) === 2);
      for (let at = 0; at < text.length; at += pieceBytes) {
        socket.write(text.slice(at, at + pieceBytes));
        await new Promise((resolve) => setImmediate(resolve));
      }
      await done;
      socket.destroy();
    }
    expect(mostOpen).to.equal(1);
    expect(new Set(bodies)).to.deep.equal(
      new Set(["x\r\n\r\ny\r\n\r\n", "\r\n\r\nz"]),
    );
    expect(bodies).to.have.length(10);
  });

  // A close with unread input resets the connection.
  it("gets a refusal to a caller that sends all of its body first", async () => {
    answer = (request, response) => {
      response.writeHead(413, { connection: "close" }).end("too large");
      getCallerSocket(request).stopParsing();
    };
    const socket = call();
    socket.write(
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${LARGE.length}\r\n\r\n`,
    );
    await new Promise((resolve) => socket.write(LARGE, resolve));
    const text = await read(socket, () => false);
    expect(text).to.match(/413[^]*too large/);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.end();
    await closed;
  });

  it("closes soon though a refused caller goes on sending", async () => {
    answer = (request, response) => {
      response.writeHead(503, { connection: "close" }).end("full");
      getCallerSocket(request).stopParsing(262_144);
    };
    const socket = call();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    const timer = setInterval(() => socket.write("1\r\nx\r\n"), 1);
    await closed;
    clearInterval(timer);
    expect(urls).to.have.length(1);
  });

  // Node.js treats a connection of these kinds in ways of its own.
  for (
    const [name, text] of Object.entries({
      "a tunnel": "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
      "no method": "\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n",
      "another version": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
      "an unknown expectation":
        "GET / HTTP/1.1\r\nHost: a\r\nExpect: b\r\nConnection: close\r\n\r\n",
      "an upgrade":
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, close\r\n" +
        "Upgrade: b\r\n\r\n",
      "a length and chunks":
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "a head beyond its limit": `GET / HTTP/1.1\r\nHost: a\r\na: ${
        "b".repeat(20_000)
      }\r\n\r\n`,
    })
  ) {
    it(`ends after a request with ${name}, and others are served`, async () => {
      const socket = call();
      const ended = read(socket, () => false);
      socket.write(text);
      await ended;
      const closed = new Promise((resolve) => socket.once("close", resolve));
      socket.end();
      await closed;
      const other = call();
      other.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      await read(other, (received) => countResponses(received) === 1);
      other.destroy();
    });
  }

  it("continues a body for a caller that asks to", async () => {
    const socket = call();
    let received = "";
    socket.on("data", (bytes) => received += String(bytes));
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n" +
        "Content-Length: 3\r\n\r\n",
    );
    while (!received.includes("100 Continue")) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    socket.write("abc");
    while (countResponses(received) === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    socket.destroy();
  });

  it("reports a caller that leaves while its request runs", async () => {
    const socket = call();
    const closed = new Promise((resolve) => {
      answer = (_request, response) => response.once("close", resolve);
    });
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    while (open === 0) await new Promise((resolve) => setImmediate(resolve));
    socket.destroy();
    await closed;
  });

  it("closes after the idle time", async () => {
    server.keepAliveTimeout = 50;
    const socket = call();
    const ended = read(socket, () => false);
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    expect(countResponses(await ended)).to.equal(1);
    socket.destroy();
  });

  it("closes on a head that isn't complete in time", async () => {
    server.close();
    server = createServer({ connectionsCheckingInterval: 20 });
    server.headersTimeout = 50;
    scheduleInput(server, new InputScheduler(), NO_CONNECTIONS);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const socket = call();
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n");
    const timer = setInterval(() => socket.write("a: b\r\n"), 10);
    expect(await read(socket, () => false)).to.match(/ 408 /);
    clearInterval(timer);
    socket.destroy();
  });
});

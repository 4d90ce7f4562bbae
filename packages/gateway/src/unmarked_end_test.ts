import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
} from "./gateway_fixture_test.ts";

const HEAD = "HTTP/1.1 200 OK\r\nsigned: 1\r\n";
const RESET_DELAY_MS = 30;

/** Sends a body whose end only the close of the connection marks. */
function sendUnmarked(request: IncomingMessage, body: string): void {
  request.socket.end(`${HEAD}connection: close\r\n\r\n${body}`);
}

function sendMarked(request: IncomingMessage, body: string): void {
  request.socket.write(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`);
}

describe("a response whose end isn't marked", () => {
  let fixture: GatewayFixture;
  let targets: FakeTarget[];
  let port: number;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    targets = [await fixture.addTarget("t1"), await fixture.addTarget("t2")];
    await fixture.addGateway("g1");
    port = fixture.ports[0] ?? 0;
  });

  afterEach(() => fixture.stop());

  function setHandler(
    handle: (
      request: IncomingMessage,
      response: ServerResponse,
      sends: number,
    ) => void,
  ): () => number {
    let sends = 0;
    for (const target of targets) {
      target.handle = (request, response) => {
        sends += 1;
        handle(request, response, sends);
      };
    }
    return () => sends;
  }

  it("is forwarded without a marked end if it can't be repeated", async () => {
    const countSends = setHandler((request) => sendUnmarked(request, "whole"));
    const result = await fixture.sendRequest(port, { path: "/once/1" });
    expect(result).to.include({ status: 200, text: "whole" });
    expect(result.headers).not.to.have.any.keys(
      "content-length",
      "transfer-encoding",
    );
    expect(countSends()).to.equal(1);
  });

  // A target that failed cut its response by an orderly close (seed
  // 728441289940 of the spoiled answers).
  it("is confirmed by a second attempt if it can be repeated", async () => {
    const countSends = setHandler((request, _response, sends) =>
      sends === 1 ? sendUnmarked(request, "who") : sendMarked(request, "whole")
    );
    const result = await fixture.sendRequest(port, { path: "/safe/1" });
    expect(result).to.include({ status: 200, text: "whole" });
    expect(countSends()).to.equal(2);
  });

  it("is forwarded if the second attempt ends like that, too", async () => {
    const countSends = setHandler((request) => sendUnmarked(request, "whole"));
    const result = await fixture.sendRequest(port, { path: "/safe/1" });
    expect(result).to.include({ status: 200, text: "whole" });
    expect(result.headers).not.to.have.property("content-length");
    expect(countSends()).to.equal(2);
  });

  it("completes a stream after its last event", async () => {
    const countSends = setHandler((request) =>
      sendUnmarked(request, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
    );
    const result = await fixture.sendRequest(port, { path: "/stream/1" });
    expect(result.isComplete).to.equal(true);
    expect(result.text.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    expect(result.headers).to.include({ "transfer-encoding": "chunked" });
    expect(countSends()).to.equal(1);
  });

  it("has a length if the kernel may take it in several writes", async () => {
    const body = "whole".repeat(20_000);
    setHandler((request) => sendUnmarked(request, body));
    const result = await fixture.sendRequest(port, { path: "/once/1" });
    expect(result).to.include({ status: 200, text: body });
    expect(result.headers).to.include({ "content-length": "100000" });
  });

  /** Sends a request as text; returns the response's bytes as text. */
  function sendText(text: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect({ host: "127.0.0.1", port });
      let received = "";
      socket.on("data", (bytes) => received += bytes.toString());
      socket.on("close", () => resolve(received));
      socket.write(text);
    });
  }

  it("is chunked for a caller that closes its connection", async () => {
    setHandler((request) => sendUnmarked(request, "id: 1\ndata: x\n\n"));
    const text = await sendText(
      "GET /stream/1 HTTP/1.1\r\nhost: a.example\r\nid: r1\r\n" +
        "connection: close\r\n\r\n",
    );
    expect(text).to.match(/transfer-encoding: chunked/i);
    expect(text).to.match(/\r\n0\r\n\r\n$/);
  });

  // HTTP/1.0 has no chunks: a stream that's cut would look complete.
  it("refuses streams to callers that can't read chunks", async () => {
    const countSends = setHandler((request) => sendUnmarked(request, "whole"));
    const head = "HTTP/1.0\r\nhost: a.example\r\nid: r1\r\n\r\n";
    expect(await sendText(`GET /stream/1 ${head}`)).to.match(/ 505 .*1008/s);
    expect(countSends()).to.equal(0);
    expect(await sendText(`GET /once/1 ${head}`)).to.match(/ 200 .*whole$/s);
  });

  for (const status of [200, 204, 304]) {
    it(`has no body in a response of ${status} to HEAD`, async () => {
      setHandler((request) =>
        request.socket.end(
          `HTTP/1.1 ${status} X\r\nsigned: 1\r\nconnection: close\r\n\r\n`,
        )
      );
      const text = await sendText(
        "HEAD /once/1 HTTP/1.1\r\nhost: a.example\r\nid: r1\r\n" +
          "connection: close\r\n\r\n",
      );
      expect(text).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      expect(text).to.match(/\r\n\r\n$/);
    });
  }

  for (const ending of ["inside an event", "by a reset"] as const) {
    const breakOff = (request: IncomingMessage): void => {
      const event = "id: 1\ndata: x\n\n";
      if (ending === "inside an event") {
        return sendUnmarked(request, `${event}id: 2\nda`);
      }
      request.socket.write(`${HEAD}connection: close\r\n\r\n${event}`);
      setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MS);
    };

    it(`is resumed if a stream ends ${ending}`, async () => {
      setHandler((request) => {
        if (Number(request.headers["resume-after"]) === 0) {
          return breakOff(request);
        }
        sendUnmarked(request, "id: 2\ndata: y\n\n");
      });
      const result = await fixture.sendRequest(port, { path: "/stream/1" });
      expect(result.isComplete).to.equal(true);
      expect(result.text.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
    });

    it(`doesn't look complete if a stream keeps ending ${ending}`, async () => {
      setHandler(breakOff);
      const isComplete = await fixture
        .sendRequest(port, { path: "/stream/1" })
        .then((result) => result.isComplete, () => false);
      expect(isComplete).to.equal(false);
    });
  }

  it("is an error if a request that can't be repeated was cut by a reset", async () => {
    setHandler((request) => {
      request.socket.write(`${HEAD}\r\nhalf`);
      setTimeout(() => request.socket.resetAndDestroy(), RESET_DELAY_MS);
    });
    const { status } = await fixture.sendRequest(port, { path: "/once/1" });
    expect(status).to.equal(502);
  });
});

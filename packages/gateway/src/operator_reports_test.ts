import { expect } from "chai";
import { connect } from "node:net";
import { monitorEventLoopDelay } from "node:perf_hooks";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
} from "./gateway_fixture_test.ts";
import { buildResponse, RawTarget } from "./raw_target_test.ts";

const NS_PER_MS = 1e6;
const GARBAGE = [
  "not HTTP at all\r\n\r\n",
  '{"id":1,"body":null}\n',
  '{"id":"x"}\n',
  '{"id":2,"body":{"from":{},"message":{"kind":"open_turn"}}}\n',
  "POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: -1\r\n\r\n",
  `${"x".repeat(100_000)}\n`,
];

describe("what other operators reported", () => {
  let fixture: GatewayFixture;
  let raw: RawTarget;
  let port: number;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    raw = new RawTarget();
    fixture.store.put("targets", "raw", {
      id: "raw",
      service: "s",
      host: "127.0.0.1",
      port: await raw.start(),
      failureDomain: "a",
      state: "ready",
      slots: 4,
      startedAtMs: 1,
    });
    await fixture.addGateway("g1");
    port = fixture.ports[0] ?? 0;
  });

  afterEach(async () => {
    await fixture.stop();
    raw.stop();
  });

  for (const delayMs of [0, 5, 25]) {
    it(`a second copy of an answer after ${delayMs} ms reaches no other caller`, async () => {
      let answers = 0;
      raw.handle = (socket, id) => {
        answers += 1;
        const text = buildResponse(`answer ${answers}`, id);
        socket.write(text);
        if (answers === 1) setTimeout(() => socket.write(text), delayMs);
      };
      const texts: string[] = [];
      for (let at = 0; at < 4; at += 1) {
        const { status, text } = await fixture.sendRequest(port, {
          path: "/once/1",
          headers: { id: `r${at}` },
        });
        if (status === 200) texts.push(text);
        await new Promise((resolve) => setTimeout(resolve, 15));
      }
      expect(texts.filter((text) => text === "answer 1")).to.have.length(1);
      expect(new Set(texts).size).to.equal(texts.length);
    });
  }

  for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
    it(`an answer to ${path} that ends within its head isn't passed on as whole`, async () => {
      const head = `HTTP/1.1 200 OK\r\nsigned: 1\r\nid: r1\r\n` +
        `connection: close\r\ncontent-length: 5\r\n\r\n`;
      for (let length = 0; length < head.length + 5; length += 3) {
        raw.handle = (socket) => socket.end(`${head}whole`.slice(0, length));
        const result = await fixture.sendRequest(port, { path })
          .catch(() => undefined);
        const isWhole = result?.status === 200 && result.isComplete;
        expect(isWhole, `cut after ${length} bytes`).to.equal(false);
      }
    }).timeout(120_000);

    it(`an answer to ${path} whose head breaks off on a reused connection isn't whole`, async () => {
      let cutAfter = 0;
      raw.handle = (socket, id) => {
        const text = buildResponse("id: 1\ndata: x\n\n", id);
        if (id === "warm") socket.write(text);
        else socket.end(text.slice(0, cutAfter));
      };
      for (const length of [0, 9, 17, 28, 45, 60]) {
        cutAfter = length;
        await fixture.sendRequest(port, { path, headers: { id: "warm" } });
        await new Promise((resolve) => setTimeout(resolve, 15));
        const result = await fixture.sendRequest(port, { path })
          .catch(() => undefined);
        const isWhole = result?.status === 200 && result.isComplete;
        expect(isWhole, `cut after ${length} bytes`).to.equal(false);
      }
    }).timeout(120_000);
  }

  it("a slow stream isn't cut, and a stalled one that drips ends in time", async () => {
    raw.handle = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nsigned: 1\r\nconnection: close\r\n\r\n");
      [1, 2, 3, 4].forEach((id) =>
        setTimeout(() => socket.write(`id: ${id}\ndata: x\n\n`), id * 110)
      );
      setTimeout(() => socket.end(), 480);
    };
    const slow = await fixture.sendRequest(port, { path: "/stream/1" });
    expect(slow.isComplete).to.equal(true);
    expect(slow.text.match(/id: \d/g)).to.have.length(4);
    raw.handle = (socket) => {
      socket.write("HTTP/1.1 200 OK\r\nsigned: 1\r\nconnection: close\r\n\r\n");
      const timer = setInterval(() => socket.write(":"), 50);
      socket.once("close", () => clearInterval(timer));
    };
    const delay = monitorEventLoopDelay({ resolution: 10 });
    delay.enable();
    const startedAtMs = performance.now();
    await fixture.sendRequest(port, { path: "/stream/2" }).catch(() => {});
    delay.disable();
    const elapsedMs = performance.now() - startedAtMs;
    // The route's limit is 600 ms; what this process itself stood still isn't
    // the gateway's.
    expect(elapsedMs - delay.max / NS_PER_MS).to.be.lessThan(1_100);
  });

  it("malformed messages leave the process and other callers alone", async () => {
    raw.handle = (socket, id) => socket.write(buildResponse("whole", id));
    const peers = fixture.peerAddresses[0]?.port ?? 0;
    for (const garbage of GARBAGE) {
      await Promise.all([port, peers].map((each) => sendBytes(each, garbage)));
    }
    const { text } = await fixture.sendRequest(port, { path: "/once/1" });
    expect(text).to.equal("whole");
  });

  it("an error after a broken stream doesn't reach its middle or end it", async () => {
    raw.handle = (socket) => {
      if (raw.requests === 1) {
        socket.write("HTTP/1.1 200 OK\r\nsigned: 1\r\n");
        socket.write("transfer-encoding: chunked\r\n\r\n");
        socket.write("f\r\nid: 1\ndata: x\n\n\r\n");
        setTimeout(() => socket.destroy(), 20);
        return;
      }
      const text = "internal error";
      socket.write(
        `HTTP/1.1 500 Error\r\nsigned: 1\r\ncontent-length: ${text.length}` +
          `\r\n\r\n${text}`,
      );
    };
    const result = await fixture.sendRequest(port, { path: "/stream/1" });
    expect(result.isComplete).to.equal(false);
    expect(result.text).to.equal("id: 1\ndata: x\n\n");
  });

  it("an earlier refusal that comes once more refuses no other request", async () => {
    const other: FakeTarget = await fixture.addTarget("other");
    await new Promise((resolve) => setTimeout(resolve, 60));
    const refusal =
      "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let runs = 0;
    raw.handle = (socket, id) => {
      if (raw.requests === 1) {
        socket.write(refusal);
        return;
      }
      // The target runs this request, but an earlier refusal comes first.
      runs += 1;
      socket.write(refusal);
      socket.write(buildResponse("ran", id));
    };
    other.handle = (_request, response) => {
      runs += 1;
      response.writeHead(200, { signed: "1" });
      response.end("ran elsewhere");
    };
    const statuses: number[] = [];
    for (let at = 0; at < 12; at += 1) {
      runs = 0;
      const { status } = await fixture.sendRequest(port, {
        path: "/once/1",
        headers: { id: `r${at}` },
      });
      statuses.push(status);
      expect(runs, `request ${at}, status ${status}`).to.be.at.most(1);
      if (runs > 0) expect(status).not.to.equal(503);
      await new Promise((resolve) => setTimeout(resolve, 70));
    }
    expect(raw.requests).to.be.greaterThan(1);
  });
});

function sendBytes(port: number, bytes: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    socket.on("close", () => resolve());
    socket.write(bytes);
    setTimeout(() => socket.destroy(), 40);
  });
}

import type { Socket } from "node:net";
import { openDirectly, type SocketOpener } from "@camphorlock/http/exchange";
import { expect } from "chai";
import {
  buildConfiguration,
  GatewayFixture,
  waitUntil,
} from "./gateway_fixture_test.ts";
import { RawTarget } from "./raw_target_test.ts";

/** More than the kernel takes for a target that doesn't read. */
const UPLOAD_BYTES = 16_000_000;
/** The kernel takes it, so that the gateway has written it all. */
const SMALL_UPLOAD_BYTES = 60_000;
/** The longest chain of a kept turn has 4 MiB. */
const KEPT_UPLOAD_BYTES = 4_000_000;
/** At once, or after the first part of the response has arrived. */
const END_DELAYS_MS = [0, 50];
const STATUSES = ["000", "001", "099", "600", "999"];

// Guards against what a target sends and that is no response: it must reach no
// caller as one, and must not end the gateway's process.
describe("a response that is none", () => {
  let fixture: GatewayFixture;
  let target: RawTarget;
  let isCut: boolean;

  const openSocket: SocketOpener = (address, timeoutMs) =>
    isCut
      ? Promise.reject(new Error("unreachable"))
      : openDirectly(address, timeoutMs);

  beforeEach(async () => {
    isCut = false;
    fixture = new GatewayFixture();
    const configuration = buildConfiguration(1);
    fixture.store.put("configuration", "main", {
      ...configuration,
      routes: configuration.routes.map((route) => ({
        ...route,
        timeoutMs: 4_000,
      })),
      limits: { ...configuration.limits, maxBodyBytes: UPLOAD_BYTES },
    });
    target = new RawTarget();
    fixture.store.put("targets", "t1", await target.startAs("t1"));
  });

  afterEach(async () => {
    await fixture.stop();
    target.stop();
  });

  /** Starts the gateways; a cut one reaches targets through the other. */
  async function start(way: "direct" | "relayed"): Promise<void> {
    await fixture.addGateway("g1", { openSocket });
    if (way === "direct") return;
    await fixture.addGateway("g2", {
      seeds: fixture.peerAddresses.slice(0, 1),
    });
    await waitUntil(() =>
      fixture.lines.filter(({ name }) => name === "PeerChanged").length >= 2
    );
    isCut = true;
  }

  async function startKeepers(): Promise<void> {
    for (const vmId of ["d1", "d2", "d3"]) await fixture.addKeeper(vmId);
    await start("direct");
    await new Promise((resolve) => setTimeout(resolve, 300));
  }

  /** Sends a request; the status is 0 if the connection ended without one. */
  async function send(path: string, bytes: number) {
    const request = {
      path,
      headers: { id: "r1", deadline: "4000" },
      ...(bytes === 0 ? {} : { method: "POST", body: "x".repeat(bytes) }),
    };
    const none = { status: 0, text: "", isComplete: false };
    return await fixture.sendRequest(fixture.ports[0] ?? 0, request)
      .catch(() => none);
  }

  function answerWith(status: string): (socket: Socket, id: string) => void {
    return (socket, id) =>
      socket.write(
        `HTTP/1.1 ${status} X\r\nsigned: 1\r\nid: ${id}\r\n` +
          "content-length: 2\r\n\r\nok",
      );
  }

  /** Answers before it has read the upload, and breaks off within the body. */
  function breakOff(ending: "reset" | "end", delayMs: number, header = "") {
    return (socket: Socket, id: string) => {
      socket.pause();
      socket.write(
        `HTTP/1.1 200 OK\r\nsigned: 1\r\nid: ${id}\r\n${header}\r\n` +
          "id: 1\ndata: x\n\n",
      );
      setTimeout(() => {
        if (ending === "reset") socket.resetAndDestroy();
        else socket.end();
      }, delayMs);
    };
  }

  for (const ending of ["reset", "end"] as const) {
    for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
      for (const way of ["direct", "relayed"] as const) {
        it(`isn't one that ${ending}s during the upload: ${path}, ${way}`, async () => {
          await start(way);
          for (const [at, delayMs] of END_DELAYS_MS.entries()) {
            target.handle = breakOff(ending, delayMs);
            const { status, isComplete } = await send(path, UPLOAD_BYTES);
            expect(status === 200 && isComplete, `status ${status}`)
              .to.equal(false);
            expect(target.requests).to.be.at.least(at + 1);
            if (path === "/once/1") expect(target.requests).to.equal(at + 1);
          }
        }).timeout(20_000);
      }
    }

    it(`isn't one that ${ending}s during the upload: a kept turn`, async () => {
      await startKeepers();
      target.handle = breakOff(ending, 50);
      const { status, isComplete } = await send("/kept/1", KEPT_UPLOAD_BYTES);
      expect(status === 200 && isComplete, `status ${status}`).to.equal(false);
      expect(target.requests).to.equal(1);
    }).timeout(20_000);
  }

  for (const way of ["direct", "relayed"] as const) {
    it(`isn't one that resets after a small upload, ${way}`, async () => {
      await start(way);
      for (const delayMs of END_DELAYS_MS) {
        for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
          target.handle = breakOff("reset", delayMs);
          const { status, isComplete } = await send(path, SMALL_UPLOAD_BYTES);
          expect(status === 200 && isComplete, `status ${status} of ${path}`)
            .to.equal(false);
        }
      }
    }).timeout(20_000);
  }

  // Such a body ends with its connection, as one without a length does.
  it("isn't one that ends during the upload, with another transfer coding", async () => {
    await start("direct");
    target.handle = breakOff("end", 50, "transfer-encoding: gzip\r\n");
    const { status, isComplete } = await send("/once/1", UPLOAD_BYTES);
    expect(status === 200 && isComplete, `status ${status}`).to.equal(false);
  });

  for (const status of STATUSES) {
    for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
      for (const way of ["direct", "relayed"] as const) {
        it(`isn't one of status ${status}: ${path}, ${way}`, async () => {
          await start(way);
          target.handle = answerWith(status);
          const answer = await send(path, 0);
          expect(answer.status).to.equal(502);
          expect(answer.text).not.to.equal("ok");
          if (path === "/once/1") expect(target.requests).to.equal(1);
        }).timeout(20_000);
      }
    }

    it(`isn't one of status ${status}: a kept turn`, async () => {
      await startKeepers();
      target.handle = answerWith(status);
      expect((await send("/kept/1", 10)).status).to.equal(502);
    }).timeout(20_000);
  }
});

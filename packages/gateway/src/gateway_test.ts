import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { PeerDirectory } from "./decisions/peer_directory.ts";
import { buildPeer } from "./peer_fixture_test.ts";
import {
  answerWhole,
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  waitUntil,
} from "./gateway_fixture_test.ts";

/** Chooses the homes of a program as the gateways of the fixture do. */
function chooseHomes(programId: string, vmIds: readonly string[]): string[] {
  const [self, ...others] = vmIds.map((vmId) => buildPeer(vmId));
  if (self === undefined) return [];
  const directory = new PeerDirectory(self);
  for (const other of others) directory.add(other);
  return directory.chooseHomes(programId).map(({ vmId }) => vmId);
}

function sendEvents(response: ServerResponse, ids: readonly number[]): void {
  for (const id of ids) response.write(`id: ${id}\ndata: x\n\n`);
}

function answerFiveEvents(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(200, { signed: "1" });
  sendEvents(response, [1, 2, 3, 4, 5]);
  response.end();
}

describe("gateway", () => {
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let other: FakeTarget;
  let port: number;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    target = await fixture.addTarget("t1");
    other = await fixture.addTarget("t2");
    await fixture.addGateway("g1");
    port = fixture.ports[0] ?? 0;
  });

  afterEach(() => fixture.stop());

  function isSeen(path: string): FakeTarget | undefined {
    return [target, other].find(({ seen }) => seen.includes(path));
  }

  it("passes a target's whole answer on", async () => {
    const answer = await fixture.ask(port, { path: "/safe/1" });
    expect(answer).to.include({ status: 200, text: "whole", isWhole: true });
    expect(answer.headers["signed"]).to.equal("1");
  });

  it("refuses what no route leads to", async () => {
    expect((await fixture.ask(port, { path: "/none/" })).status).to.equal(404);
  });

  it("sends a request that wasn't run to another target", async () => {
    target.handle = (_request, response) => {
      response.writeHead(503, { "not-run": "1" });
      response.end();
    };
    const answer = await fixture.ask(port, { path: "/once/1", method: "POST" });
    expect(answer.status).to.equal(200);
    expect(other.seen).to.deep.equal(["/once/1"]);
  });

  it("refuses at once with a time to return when every target is full", async () => {
    for (const each of [target, other]) {
      each.handle = (_request, response) => {
        response.writeHead(503, { "not-run": "1" });
        response.end();
      };
    }
    const answer = await fixture.ask(port, { path: "/once/1", method: "POST" });
    expect(answer.status).to.equal(503);
    expect(Number(answer.headers["retry-after"])).to.be.greaterThan(0);
  });

  it("never repeats what may have run and may not be repeated", async () => {
    for (const each of [target, other]) {
      each.handle = (request) => request.socket.destroy();
    }
    const answer = await fixture.ask(port, { path: "/once/1", method: "POST" });
    expect(answer.status).to.equal(502);
    expect(target.seen.length + other.seen.length).to.equal(1);
  });

  it("doesn't pass on a refusal of a target that may have run the request", async () => {
    for (const each of [target, other]) {
      each.handle = (_request, response) => {
        response.writeHead(503, { signed: "1" });
        response.end();
      };
    }
    const answer = await fixture.ask(port, { path: "/once/1", method: "POST" });
    expect(answer.status).to.equal(502);
    expect(target.seen.length + other.seen.length).to.equal(1);
  });

  it("gives no success without a signature, nor another request's answer", async () => {
    for (const each of [target, other]) {
      each.handle = (_request, response) => response.end("forged");
    }
    const forged = await fixture.ask(port, { path: "/once/1" });
    expect(forged.status).to.equal(502);
    for (const each of [target, other]) {
      each.handle = (_request, response) => {
        response.writeHead(200, { signed: "1", id: "another" });
        response.end("of another");
      };
    }
    const crossed = await fixture.ask(port, { path: "/once/2" });
    expect(crossed.status).to.equal(502);
  });

  it("takes no reset answer without a length for whole", async () => {
    for (const each of [target, other]) {
      each.handle = (request) => {
        request.socket.write("HTTP/1.1 200 OK\r\nsigned: 1\r\n\r\nhalf");
        setTimeout(() => request.socket.resetAndDestroy(), 30);
      };
    }
    const answer = await fixture.ask(port, { path: "/once/1" });
    expect(answer.status).to.equal(502);
  });

  it("takes no answer for whole whose end can't be told", async () => {
    for (const each of [target, other]) {
      each.handle = (request) => {
        const framed = each.seen.length > 1
          ? "content-length: 5\r\n\r\nwhole"
          : "connection: close\r\n\r\nwho";
        request.socket.end(`HTTP/1.1 200 OK\r\nsigned: 1\r\n${framed}`);
      };
    }
    expect((await fixture.ask(port, { path: "/once/1" })).status).to.equal(502);
    for (const each of [target, other]) each.seen.length = 0;
    const safe = await fixture.ask(port, { path: "/safe/1" });
    expect(safe).to.include({ status: 200, text: "whole" });
  });

  it("asks for the rest of a stream whose end can't be told", async () => {
    for (const each of [target, other]) {
      each.handle = (request, response) => {
        if (Number(request.headers["resume-after"]) > 0) {
          response.writeHead(200, { signed: "1" });
          sendEvents(response, [2]);
          response.end();
          return;
        }
        request.socket.end(
          "HTTP/1.1 200 OK\r\nsigned: 1\r\nconnection: close\r\n\r\n" +
            "id: 1\ndata: x\n\n",
        );
      };
    }
    const answer = await fixture.ask(port, { path: "/stream/1" });
    expect(answer.isWhole).to.equal(true);
    expect(answer.text.match(/id: \d/g)).to.deep.equal(["id: 1", "id: 2"]);
  });

  it("answers by the route's time, however long the target takes", async () => {
    for (const each of [target, other]) each.handle = () => {};
    const startedMs = performance.now();
    const answer = await fixture.ask(port, { path: "/once/1" });
    expect(answer.status).to.equal(504);
    expect(performance.now() - startedMs).to.be.within(550, 1_100);
  });

  it("goes on with a broken stream where it broke off", async () => {
    for (const each of [target, other]) {
      each.handle = (request, response) => {
        response.writeHead(200, { signed: each.id });
        const after = Number(request.headers["resume-after"]);
        sendEvents(response, after === 0 ? [1, 2] : [3, 4]);
        if (after === 0) {
          response.write("id: 3\nda");
          setTimeout(() => request.socket.destroy(), 20);
        } else {
          response.end();
        }
      };
    }
    const answer = await fixture.ask(port, { path: "/stream/1" });
    expect(answer.isWhole).to.equal(true);
    expect(answer.text.match(/id: \d/g))
      .to.deep.equal(["id: 1", "id: 2", "id: 3", "id: 4"]);
    // The route lets one target run the request while that one lives.
    expect([target.seen.length, other.seen.length].sort())
      .to.deep.equal([0, 2]);
  });

  it("cuts a stream that can't go on, so that it doesn't look whole", async () => {
    for (const each of [target, other]) {
      each.handle = (request, response) => {
        if (Number(request.headers["resume-after"]) > 0) return;
        response.writeHead(200, { signed: "1" });
        sendEvents(response, [1]);
        setTimeout(() => request.socket.destroy(), 20);
      };
    }
    const answer = await fixture.ask(port, { path: "/stream/1" });
    expect(answer.isWhole).to.equal(false);
  });

  it("stops a repeatable request at its target when the caller leaves", async () => {
    let isStopped = false;
    for (const each of [target, other]) {
      each.handle = (_request, response) =>
        response.on("close", () => isStopped = true);
    }
    const asked = fixture.ask(port, { path: "/safe/1", leaveAfterMs: 50 });
    await asked.catch(() => {});
    await waitUntil(() => isStopped);
  });

  it("sends nothing to a draining target", async () => {
    const entry = fixture.store.get("targets", "t1") as object;
    fixture.store.put("targets", "t1", { ...entry, state: "draining" });
    await waitUntil(() =>
      fixture.lines.some(({ name, state }) =>
        name === "TargetChanged" && state === "draining"
      )
    );
    for (let count = 0; count < 10; count += 1) {
      await fixture.ask(port, { path: "/safe/1" });
    }
    expect(target.seen).to.have.length(0);
  });

  it("keeps the newest configuration and what holds when one can't be read", async () => {
    fixture.store.put("configuration", "main", buildConfiguration(3));
    await waitUntil(() => fixture.lines.some(({ version }) => version === 3));
    fixture.store.put("configuration", "main", buildConfiguration(2));
    fixture.store.put("configuration", "main", "unreadable");
    await waitUntil(() =>
      fixture.lines.some(({ name }) => name === "ConfigurationUnusable")
    );
    expect((await fixture.ask(port, { path: "/safe/1" })).status).to.equal(200);
    expect(fixture.lines.some(({ version }) => version === 2)).to.equal(false);
  });

  it("refuses a body over the limit and a request without an id", async () => {
    const large = "x".repeat(2_000);
    const answer = await fixture
      .ask(port, { path: "/safe/1", method: "POST", body: large });
    expect(answer.status).to.equal(413);
    const nameless = await fixture
      .ask(port, { path: "/safe/1", headers: { id: "" } });
    expect(nameless.status).to.equal(400);
  });

  it("counts a program's tokens over two gateways", async () => {
    for (const each of [target, other]) each.handle = answerFiveEvents;
    await fixture.addGateway("g2");
    await fixture.waitForShards();
    const statuses: number[] = [];
    for (let turn = 0; turn < 8; turn += 1) {
      const at = fixture.ports[turn % 2] ?? 0;
      const headers = { id: `turn-${turn}`, budget: "p,200,50" };
      const answer = await fixture.ask(at, { path: "/stream/1", headers });
      statuses.push(answer.status);
      // The gateways tell the homes what a turn used after its answer.
      await new Promise((resolve) => setTimeout(resolve, 30));
    }
    expect(statuses).to.deep.equal([200, 200, 200, 200, 402, 402, 402, 402]);
    await waitUntil(() =>
      fixture.store.get("tokenAccounts", "p") !== undefined
    );
  });

  it("goes on counting when a home is lost", async () => {
    for (const each of [target, other]) each.handle = answerFiveEvents;
    await fixture.addGateway("g2");
    await fixture.addGateway("g3");
    await fixture.waitForShards();
    const programId = Array.from({ length: 50 }, (_, at) => `p${at}`)
      .find((each) => chooseHomes(each, ["g1", "g2", "g3"])[0] === "g2");
    const run = async (at: number, turn: number) => {
      const headers = { id: `turn-${turn}`, budget: `${programId},200,50` };
      const answer = await fixture
        .ask(fixture.ports[at] ?? 0, { path: "/stream/1", headers });
      await new Promise((resolve) => setTimeout(resolve, 60));
      return answer.status;
    };
    expect(await run(0, 0)).to.equal(200);
    expect(await run(1, 1)).to.equal(200);
    await fixture.gateways[1]?.close();
    const statuses = [];
    for (let turn = 2; turn < 6; turn += 1) {
      statuses.push(await run(turn % 2 === 0 ? 0 : 2, turn));
    }
    // The lost home may not have passed on all that it was allowed.
    expect(statuses).to.deep.equal([200, 200, 503, 503]);
  });

  it("records what may have been passed on when both homes are killed", async () => {
    for (const each of [target, other]) each.handle = answerFiveEvents;
    const vmIds = ["g1", "g2", "g3", "g4"];
    for (const vmId of vmIds.slice(1)) await fixture.addGateway(vmId);
    await fixture.waitForShards();
    const homes = chooseHomes("p", vmIds);
    const at = vmIds.findIndex((vmId) => !homes.includes(vmId));
    const run = async (turn: number) => {
      const headers = { id: `turn-${turn}`, budget: "p,500,50" };
      const answer = await fixture
        .ask(fixture.ports[at] ?? 0, { path: "/stream/1", headers });
      await new Promise((resolve) => setTimeout(resolve, 60));
      return answer.status;
    };
    for (let turn = 0; turn < 3; turn += 1) {
      expect(await run(turn)).to.equal(200);
    }
    expect(fixture.store.get("tokenAccounts", "p")).to.equal(undefined);
    await Promise.all(
      homes.map((vmId) => fixture.gateways[vmIds.indexOf(vmId)]?.close()),
    );
    expect(await run(3)).to.equal(200);
    const record = fixture.store.get("tokenAccounts", "p");
    expect(record).to.have.property("allowedTokens").that.is.at.least(250);
  });

  it("follows the store through one gateway of the region", async () => {
    for (const vmId of ["g2", "g3", "g4"]) await fixture.addGateway(vmId);
    await new Promise((resolve) => setTimeout(resolve, 2_300));
    const before = fixture.store.calls;
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    // One gateway watches two kinds, for a quarter of 2,500 ms each time.
    expect(fixture.store.calls - before).to.be.at.most(2 * 4);
    fixture.store.put("configuration", "main", buildConfiguration(7));
    await waitUntil(() =>
      fixture.lines.filter(({ version }) => version === 7).length === 4
    );
  });

  it("serves a caller that comes before the first configuration", async () => {
    const late = new GatewayFixture();
    await late.addTarget("t1");
    const { answer } = await late.startEarly({}, async (at) => {
      const asked = late.ask(at, { path: "/safe/1" });
      await new Promise((resolve) => setTimeout(resolve, 80));
      late.store.put("configuration", "main", buildConfiguration(1));
      return await asked;
    });
    await late.stop();
    expect(answer.status).to.equal(200);
  });

  it("meets gateways that start at the same moment", async () => {
    const together = new GatewayFixture();
    together.store.put("configuration", "main", buildConfiguration(1));
    await together.addTarget("t1");
    await Promise.all(["g1", "g2", "g3"].map((id) => together.addGateway(id)));
    const listMet = () =>
      together.lines.filter(({ name }) => name === "PeerChanged")
        .map(({ vm, peer }) => `${vm} knows ${peer}`);
    await waitUntil(() => new Set(listMet()).size === 6);
    await together.stop();
  });

  it("decides on no turn before it has read the records of a lost time", async () => {
    const after = new GatewayFixture();
    after.store.put("configuration", "main", buildConfiguration(1));
    const record = { allowedTokens: 200, isSpent: true };
    after.store.put("tokenAccounts", "p", record);
    await after.addTarget("t1");
    const { answer } = await after.startEarly(
      { seeds: [await after.addSilentPeer()] },
      (at) => {
        const headers = { id: "t", budget: "p,200,50" };
        return after.ask(at, { path: "/stream/1", headers });
      },
    );
    await after.stop();
    expect(answer.status).to.equal(402);
  });

  it("starts from another gateway while the store is down", async () => {
    await fixture.addGateway("g2");
    fixture.store.isDown = true;
    const seeds = fixture.peerAddresses;
    await fixture.addGateway("g3", { seeds });
    const answer = await fixture.ask(fixture.ports[2] ?? 0, {
      path: "/safe/1",
    });
    expect(answer.status).to.equal(200);
  });

  it("cuts off no request at a planned stop", async () => {
    for (const each of [target, other]) {
      each.handle = (request, response) =>
        void setTimeout(() => answerWhole(request, response), 400);
    }
    const asked = fixture.ask(port, { path: "/once/1", method: "POST" });
    await waitUntil(() => isSeen("/once/1") !== undefined);
    const stopped = fixture.gateways[0]?.stop();
    expect((await asked).status).to.equal(200);
    await stopped;
  });
});

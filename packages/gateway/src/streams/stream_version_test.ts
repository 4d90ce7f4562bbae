import type { IncomingMessage, ServerResponse } from "node:http";
import { expect } from "chai";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  waitUntil,
} from "../gateway_fixture_test.ts";
import type { Target } from "../model/target.ts";

const EVENTS_IN_STREAM = 6;
const EVENTS_BEFORE_BREAK = 2;

/** Sends the events from the one after the given, and names the version. */
function sendEvents(
  version: string,
  response: ServerResponse,
  { after, last }: { readonly after: number; readonly last: number },
): void {
  for (let id = after + 1; id <= last; id += 1) {
    response.write(`id: ${id}\ndata: ${version}\n\n`);
  }
}

describe("a stream that began at one software version", () => {
  let fixture: GatewayFixture;
  let first: FakeTarget;
  let isBreaking: boolean;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    isBreaking = true;
    fixture.store.put("configuration", "main", buildConfiguration(1));
    first = await addTarget("t1", "v1");
  });

  afterEach(() => fixture.stop());

  /** Adds a target that breaks off new streams, and ends resumed ones. */
  async function addTarget(id: string, version: string): Promise<FakeTarget> {
    const target = await fixture.addTarget(id, version);
    target.handle = (request, response) => run(target, request, response);
    return target;
  }

  function run(
    target: FakeTarget,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const after = Number(request.headers["resume-after"]);
    response.writeHead(200, { signed: target.id });
    const isBroken = isBreaking && after === 0;
    const last = isBroken ? EVENTS_BEFORE_BREAK : EVENTS_IN_STREAM;
    sendEvents(target.version, response, { after, last });
    if (!isBroken) return void response.end();
    // The target is gone for good, as after a crash.
    setTimeout(() => {
      target.stop();
      fixture.store.drop("targets", target.id);
    }, 30);
  }

  async function waitForTargets(count: number): Promise<void> {
    await waitUntil(() =>
      fixture.lines.filter(({ name, change }) =>
        name === "TargetChanged" && change === "added"
      ).length >= count * fixture.gateways.length
    );
  }

  it("isn't continued at another version in one answer", async () => {
    await fixture.addGateway("g1");
    const sent = fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
    });
    const other = await addTarget("t2", "v2");
    const result = await sent;
    expect(result.text).to.include("data: v1");
    expect(result.text).to.not.include("data: v2");
    expect(result.isComplete).to.equal(false);
    expect(other.receivedPaths).to.deep.equal([]);
  });

  /** Adds a target that refuses new streams, and goes on with others as v2. */
  async function addLateTarget(): Promise<FakeTarget> {
    const late = await fixture.addTarget("t2", "v1");
    late.handle = (request, response) => {
      if (Number(request.headers["resume-after"]) === 0) {
        response.writeHead(503, { "not-run": "1" });
        return void response.end();
      }
      response.writeHead(200, { signed: "t2" });
      response.end("id: 3\ndata: v2\n\n");
    };
    return late;
  }

  // The entry of a target that starts again under its id is late.
  it("isn't continued at a target that states another start than its entry", async () => {
    const late = await addLateTarget();
    late.identity = "started 2";
    await fixture.addGateway("g1");
    const result = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
    });
    expect(result.text).to.include("data: v1");
    expect(result.text).to.not.include("data: v2");
    expect(result.isComplete).to.equal(false);
  });

  it("isn't continued at a target that another gateway saw end", async () => {
    const late = await addLateTarget();
    late.identity = "nothing about a start";
    const { handle } = late;
    await fixture.addGateway("g1");
    await fixture.addGateway("g2", { seeds: fixture.peerAddresses });
    await waitForTargets(2);
    late.handle = () => late.stop();
    first.handle = (_request, response) => {
      response.writeHead(503, { "not-run": "1" });
      response.end();
    };
    await fixture.sendRequest(fixture.ports[1] ?? 0, { path: "/once/1" });
    await new Promise((resolve) => setTimeout(resolve, 200));
    late.handle = handle;
    await late.restart();
    first.handle = (request, response) => run(first, request, response);
    const result = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
    });
    expect(result.text).to.include("data: v1");
    expect(result.text).to.not.include("data: v2");
    const ended = fixture.lines.filter(({ name }) => name === "TargetEnded");
    expect(ended.map(({ vm }) => vm)).to.include("g2");
  });

  it("is continued at another target of its version in one answer", async () => {
    await addTarget("t2", "v1");
    await fixture.addGateway("g1");
    const result = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
    });
    expect(result.isComplete).to.equal(true);
    expect(result.text.match(/id: \d/g)).to.have.length(EVENTS_IN_STREAM);
  });

  /** Begins a stream that breaks off; returns the gateway's response. */
  async function beginStream(): Promise<void> {
    const begun = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/stream/1",
      headers: { id: "begun" },
    });
    expect(begun.isComplete).to.equal(false);
    expect(begun.text.match(/id: \d/g)).to.have.length(EVENTS_BEFORE_BREAK);
  }

  function takeUp(
    headers: Record<string, string>,
    port = fixture.ports.at(-1) ?? 0,
  ): ReturnType<GatewayFixture["sendRequest"]> {
    return fixture.sendRequest(port, {
      path: "/stream/1",
      headers: { "last-event": String(EVENTS_BEFORE_BREAK), ...headers },
    });
  }

  // Take-ups at other gateways were answered by whatever version was there.
  it("isn't taken up at another version by any gateway", async () => {
    await fixture.addGateway("g1");
    await beginStream();
    const other = await addTarget("t2", "v2");
    await fixture.addGateway("g2");
    await waitForTargets(1);
    for (const port of fixture.ports) {
      const result = await takeUp(
        { id: `again-${port}`, resumes: "begun" },
        port,
      );
      expect(result.status).to.equal(503);
      expect(result.text).to.not.include("data: v2");
    }
    expect(other.receivedPaths).to.deep.equal([]);
    const { startedAtMs } = fixture.store.get("targets", "t2") as Target;
    expect(startedAtMs).to.be.above(0);
    expect(first.receivedPaths).to.have.length(1);
  });

  describe("with keepers", () => {
    beforeEach(async () => {
      await Promise.all(["d1", "d2", "d3"].map((id) => fixture.addKeeper(id)));
      await fixture.addGateway("g1");
      await waitForKeepers();
    });

    /** Waits until every gateway has read the list of keepers. */
    async function waitForKeepers(): Promise<void> {
      await waitUntil(() =>
        fixture.lines.filter(({ name }) => name === "KeepersChanged").length >=
          fixture.gateways.length
      );
    }

    it("is taken up at its version by another gateway", async () => {
      await beginStream();
      await addTarget("t2", "v2");
      const same = await addTarget("t3", "v1");
      await fixture.gateways[0]?.close();
      await fixture.addGateway("g2");
      await waitForKeepers();
      const result = await takeUp({ id: "again", resumes: "begun" });
      expect(result.status).to.equal(200);
      expect(result.isComplete).to.equal(true);
      expect(result.text).to.include("data: v1");
      expect(result.text).to.not.include("data: v2");
      expect(same.receivedPaths).to.have.length(1);
      // A take-up of a take-up names the attempt that began the stream.
      const again = await takeUp({ id: "third", resumes: "begun" });
      expect(again.status).to.equal(200);
      expect(same.receivedPaths).to.have.length(2);
    });

    for (
      const [title, headers] of [
        ["an unknown attempt", { resumes: "unknown" }],
        ["a malformed attempt", { resumes: "%%\t" }],
        ["an attempt at something else", { resumes: "begun" }],
      ] as const
    ) {
      it(`isn't taken up for ${title}`, async () => {
        await beginStream();
        const same = await addTarget("t3", "v1");
        await waitForTargets(2);
        const isOther = headers.resumes === "begun";
        const result = await fixture.sendRequest(fixture.ports[0] ?? 0, {
          path: isOther ? "/stream/2" : "/stream/1",
          headers: { id: "again", "last-event": "2", ...headers },
        });
        expect(result.status).to.equal(503);
        expect(Number(result.headers["retry-after"])).to.be.above(0);
        expect(same.receivedPaths).to.deep.equal([]);
      });
    }

    it("is taken up without a name when only one version may have begun it", async () => {
      await beginStream();
      const same = await addTarget("t3", "v1");
      await waitForTargets(2);
      expect((await takeUp({ id: "again" })).status).to.equal(200);
      expect(same.receivedPaths).to.have.length(1);
      isBreaking = true;
      const other = await addTarget("t4", "v2");
      same.stop();
      fixture.store.drop("targets", "t3");
      await waitForTargets(3);
      const begun = await fixture.sendRequest(fixture.ports[0] ?? 0, {
        path: "/stream/1",
        headers: { id: "begun-v2" },
      });
      expect(begun.text).to.include("data: v2");
      const result = await takeUp({ id: "last" });
      expect(result.status).to.equal(503);
      expect(other.receivedPaths).to.have.length(1);
    });
  });
});

import type { IncomingMessage, ServerResponse } from "node:http";
import { expect } from "chai";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  sendCompleteResponse,
} from "../gateway_fixture_test.ts";

/** The bound after which gateways in contact know what crashed three targets. */
const CONTACT_MS = 3_000;
const MAX_LATE_SENDS = 3;
const TARGETS = 6;
const RUN_MS = 20;
const RESTART_MS = 300;
const DURATION_MS = 8_000;
const DEADLY_INTERVAL_MS = 150;
const INNOCENT_INTERVAL_MS = 40;

describe("a request that crashes each target that runs it", () => {
  let fixture: GatewayFixture;
  let startedTargets: number;
  /** When the deadly request reached a target. */
  let arrivals: number[];
  let crashes: number[];
  let isStopped: boolean;

  beforeEach(async () => {
    isStopped = false;
    fixture = new GatewayFixture();
    startedTargets = 0;
    arrivals = [];
    crashes = [];
    fixture.store.put("configuration", "main", buildConfiguration(1));
    for (let each = 0; each < TARGETS; each += 1) await startTarget();
    for (const vmId of ["g1", "g2", "g3"]) await fixture.addGateway(vmId);
  });

  afterEach(async () => {
    isStopped = true;
    await fixture.stop();
  });

  async function startTarget(): Promise<void> {
    startedTargets += 1;
    const target = await fixture.addTarget(`t${startedTargets}`);
    target.handle = (request, response) => run(target, request, response);
  }

  function run(
    target: FakeTarget,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const isDeadly = request.url === "/stream/deadly";
    if (isDeadly) arrivals.push(performance.now());
    setTimeout(() => {
      if (!isDeadly) return sendCompleteResponse(request, response);
      crashes.push(performance.now());
      target.stop();
      setTimeout(() => {
        fixture.store.drop("targets", target.id);
        if (!isStopped) void startTarget();
      }, RESTART_MS);
    }, RUN_MS);
  }

  /** Sends requests to all gateways in turn, and returns their statuses. */
  async function sendRequests(
    path: string,
    intervalMs: number,
    body: (sent: number) => string,
  ): Promise<number[]> {
    const running: Promise<number>[] = [];
    const endMs = performance.now() + DURATION_MS;
    for (let sent = 0; performance.now() < endMs; sent += 1) {
      const port = fixture.ports[sent % fixture.ports.length] ?? 0;
      running.push(
        fixture.sendRequest(port, {
          path,
          method: "POST",
          headers: { id: `${path}-${sent}` },
          body: body(sent),
        }).then(({ status, isComplete }) => isComplete ? status : 0),
      );
      await new Promise((resolve) => setTimeout(resolve, intervalMs));
    }
    return await Promise.all(running);
  }

  // The users' BUDGET: a request under which three targets had ended was sent
  // to targets up to 18 times more.
  it("isn't sent again and again, and costs the others little", async () => {
    const [deadly, innocent] = await Promise.all([
      sendRequests("/stream/deadly", DEADLY_INTERVAL_MS, () => "deadly"),
      sendRequests("/safe/1", INNOCENT_INTERVAL_MS, (sent) => `turn ${sent}`),
    ]);
    expect(crashes.length).to.be.at.least(1);
    const boundMs = (crashes[2] ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
    const late = arrivals.filter((atMs) => atMs > boundMs);
    expect(late.length).to.be.at.most(MAX_LATE_SENDS);
    expect(deadly.filter((status) => status === 200)).to.deep.equal([]);
    const served = innocent.filter((status) => status === 200).length;
    expect(served / innocent.length).to.be.at.least(0.98);
  }).timeout(30_000);
});

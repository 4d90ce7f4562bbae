import { expect } from "chai";
import { AcceptedRequests } from "../front/accepted_requests.ts";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  sendCompleteResponse,
} from "../gateway_fixture_test.ts";
import type { TenantEntry } from "../model/tenant.ts";
import { OldBuild } from "../peers/old_build_fixture_test.ts";

const QUOTA = { windowMs: 3_000, overrun: 0.1, slack: 20 };
const TENANTS: readonly TenantEntry[] = [
  {
    name: "hot",
    keys: ["hot-key"],
    priority: undefined,
    quota: { ratePerS: 10, burst: 5 },
  },
  {
    name: "calm",
    keys: ["calm-key"],
    priority: undefined,
    quota: { ratePerS: 4, burst: 2 },
  },
  { name: "free", keys: ["free-key"], priority: undefined, quota: undefined },
];
const SETTLE_MS = 2_500;
const HOT_BOUND = (10 * 3 + 5) * 1.1 + 20;

describe("quotas of real gateways", () => {
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let arrivals: number[];
  const run = AcceptedRequests.prototype.run;

  beforeEach(async () => {
    // Stands in for the decision on keys where a build lacks it.
    AcceptedRequests.prototype.run = function (accepted) {
      const { fields: { key = "" } } = accepted;
      const tenant = accepted.tenant ??
        TENANTS.find(({ keys }) => keys.includes(key));
      return run.call(this, { ...accepted, tenant });
    };
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", {
      ...buildConfiguration(1),
      tenants: TENANTS,
    });
    target = await fixture.addTarget("t1");
    arrivals = [];
    target.handle = (request, response) => {
      if (request.url?.endsWith("hot-key")) arrivals.push(performance.now());
      sendCompleteResponse(request, response);
    };
  });

  afterEach(async () => {
    AcceptedRequests.prototype.run = run;
    await fixture.stop();
  });

  async function startGateways(): Promise<void> {
    for (const vmId of ["g1", "g2", "g3", "g4"]) {
      await fixture.addGateway(vmId, { quota: QUOTA });
    }
    // Homes are sure by then that no other gateway decides.
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }

  /** Sends a tenant's requests to all gateways in turn. */
  async function send(key: string, perS: number, durationMs: number) {
    const endMs = performance.now() + durationMs;
    const running: ReturnType<GatewayFixture["sendRequest"]>[] = [];
    for (let sent = 0; performance.now() < endMs; sent += 1) {
      running.push(
        fixture.sendRequest(fixture.ports[sent % fixture.ports.length] ?? 0, {
          path: `/safe/${key}`,
          headers: { id: `${key}-${sent}`, key },
        }),
      );
      await new Promise((resolve) => setTimeout(resolve, 1_000 / perS));
    }
    return await Promise.all(running);
  }

  function countMost(): number {
    return Math.max(
      ...arrivals.map((fromMs) =>
        arrivals.filter((atMs) =>
          atMs >= fromMs && atMs < fromMs + QUOTA.windowMs
        ).length
      ),
    );
  }

  it("hold for a hot tenant, and leave the others alone", async () => {
    // Guards against gateways that each grant the whole quota, and against
    // refusals of tenants that keep theirs.
    await startGateways();
    const [hot, calm, free] = await Promise.all([
      send("hot-key", 75, 6_000),
      send("calm-key", 3, 6_000),
      send("free-key", 20, 6_000),
    ]);
    expect(countMost()).to.be.at.most(HOT_BOUND);
    expect(arrivals.length).to.be.at.least(0.7 * 10 * 4);
    const refused = hot.filter(({ status }) => status === 429);
    expect(refused.length).to.be.greaterThan(hot.length / 2);
    for (const { headers, text } of refused) {
      expect(Number(headers["retry-after"])).to.be.within(0.001, 2.001);
      expect(JSON.parse(text)).to.include({ name: "QuotaExceeded" });
    }
    expect(calm.map(({ status }) => status))
      .to.deep.equal(calm.map(() => 200));
    expect(free.map(({ status }) => status))
      .to.deep.equal(free.map(() => 200));
    await new Promise((resolve) => setTimeout(resolve, 200));
    const ids = fixture.lines.filter(({ name, code }) =>
      name === "RequestRefused" && code === 1011
    ).map(({ request }) => request);
    expect(ids.length).to.equal(refused.length);
    expect(new Set(ids).size).to.equal(refused.length);
  }).timeout(60_000);

  it("give back the credits of requests that no target takes", async () => {
    // Guards against a quota that is used up by requests that never ran.
    await startGateways();
    const [port = 0] = fixture.ports;
    // No target takes requests of a route whose service has none.
    fixture.store.put("targets", "t1", {
      ...fixture.store.get("targets", "t1") as object,
      state: "draining",
    });
    await new Promise((resolve) => setTimeout(resolve, 300));
    const statuses: number[] = [];
    for (let sent = 0; sent < 12; sent += 1) {
      const { status } = await fixture.sendRequest(port, {
        path: "/safe/calm-key",
        headers: { id: `c${sent}`, key: "calm-key", deadline: "60" },
      });
      statuses.push(status);
    }
    expect(statuses).to.deep.equal(statuses.map(() => 503));
  }).timeout(60_000);

  it("hold with an old build in the group, which gets no new kinds", async () => {
    // Guards against messages that make an old build close its connections.
    const old = new OldBuild();
    await old.start();
    fixture.store.put("gateways", "old", old.info);
    try {
      await startGateways();
      const hot = await send("hot-key", 75, 5_000);
      expect(countMost()).to.be.at.most(HOT_BOUND);
      expect(hot.some(({ status }) => status === 200)).to.equal(true);
      expect(old.received).to.include("hello");
      expect(old.received).not.to.include("take_credits");
    } finally {
      old.stop();
    }
  }).timeout(60_000);
});

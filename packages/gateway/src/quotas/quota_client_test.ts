import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import type { CreditCall, CreditDecision } from "../peers/peer_messages.ts";
import { QuotaClient } from "./quota_client.ts";

const BOUNDS = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const REQUEST = {
  tenant: "a",
  quota: { ratePerS: 100, burst: 100 },
  configurationVersion: 1,
};

describe("the credits of a gateway", () => {
  let time: VirtualTime;
  let calls: CreditCall[];
  let decisions: ((decision: CreditDecision | undefined) => void)[];
  let client: QuotaClient;

  beforeEach(() => {
    time = new VirtualTime();
    calls = [];
    decisions = [];
    client = new QuotaClient({
      bounds: BOUNDS,
      clock: { readMs: () => time.nowMs },
      metrics: { add: () => {} },
      countGateways: () => 75,
      callHome: (call, onSend) => {
        calls.push(call);
        onSend();
        return new Promise((resolve) => decisions.push(resolve));
      },
    });
  });

  afterEach(() => time.restore());

  async function decide(decision: CreditDecision | undefined): Promise<void> {
    decisions.shift()?.(decision);
    for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
  }

  it("are requested in one call at a time, for all that wait", async () => {
    // Guards against a call for each request of a hot tenant.
    const results = [1, 2, 3].map(() => client.take(REQUEST));
    expect(calls.map(({ credits }) => credits)).to.deep.equal([1]);
    await decide({ kind: "granted", credits: 1, retryMs: 0 });
    expect(calls.map(({ credits }) => credits)).to.deep.equal([1, 2]);
    await decide({ kind: "granted", credits: 2, retryMs: 0 });
    for (const result of await Promise.all(results)) {
      expect(result.kind).to.equal("admitted");
    }
  });

  it("are refused without a call while the home has none", async () => {
    // Guards against the load of a hot tenant at its home, and against callers
    // that are all told the same time.
    const first = client.take(REQUEST);
    await decide({ kind: "granted", credits: 0, retryMs: 200 });
    expect(await first).to.include({ kind: "denied", retryMs: 200 });
    expect(await client.take(REQUEST)).to.include({ retryMs: 210 });
    expect(await client.take(REQUEST)).to.include({ retryMs: 220 });
    expect(calls).to.have.length(1);
    time.advance(201);
    void client.take(REQUEST);
    expect(calls).to.have.length(2);
  });

  it("are waited for a little while if the home expects some", async () => {
    // Guards against 429s that differ from an admission by milliseconds.
    const waiting = client.take(REQUEST);
    await decide({ kind: "granted", credits: 0, retryMs: 20 });
    expect(calls).to.have.length(1);
    time.nextStep?.run();
    expect(calls).to.have.length(2);
    await decide({ kind: "granted", credits: 1, retryMs: 0 });
    expect((await waiting).kind).to.equal("admitted");
  });

  it("are undecided at once when no home decides", async () => {
    // Guards against requests that wait for a decision that doesn't come.
    const waiting = client.take(REQUEST);
    await decide(undefined);
    expect(await waiting).to.include({ kind: "undecided", retryMs: 300 });
    expect((await client.take(REQUEST)).kind).to.equal("undecided");
  });

  it("run ahead of grants only a window after the start", async () => {
    // Guards against a restart that forgets what was admitted ahead.
    const large = { ...REQUEST, quota: { ratePerS: 500, burst: 100 } };
    void client.take(large);
    await decide({ kind: "granted", credits: 1, retryMs: 0 });
    void client.take(large);
    expect(calls).to.have.length(2);
    await decide({ kind: "granted", credits: 1, retryMs: 0 });
    time.advance(BOUNDS.windowMs);
    expect((await client.take(large)).kind).to.equal("admitted");
    expect(calls).to.have.length(3);
  });

  it("are forgotten for tenants without requests", async () => {
    // Guards against memory for every tenant that ever sent a request.
    for (let index = 0; index < 100; index += 1) {
      void client.take({ ...REQUEST, tenant: `t${index}` });
    }
    for (let index = 0; index < 100; index += 1) {
      await decide({ kind: "granted", credits: 1, retryMs: 0 });
    }
    client.removeUnused();
    expect(client.size).to.equal(100);
    time.advance(31_000);
    client.removeUnused();
    expect(client.size).to.equal(0);
  });
});

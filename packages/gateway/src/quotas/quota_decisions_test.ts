import { expect } from "chai";
import {
  array,
  assert,
  double,
  integer,
  oneof,
  property,
  record,
} from "fast-check";
import type { Quota } from "../model/tenant.ts";
import { CreditAccount } from "./credit_account.ts";
import { DemandEstimate } from "./demand_estimate.ts";
import { GroupStanding, SETTLE_MS } from "./home_standing.ts";
import { type HomeStanding, QuotaBucket } from "./quota_bucket.ts";
import { QuotaHome } from "./quota_home.ts";
import { BATCH_LIFE_MS, computeTerms } from "./quota_terms.ts";

const BOUNDS = { windowMs: 5_000, overrun: 0.1, slack: 20 };
const SURE: HomeStanding = {
  share: 1,
  sinceMs: 0,
  settlesInMs: 0,
  settledForMs: 1e6,
};
const QUOTA = record({
  ratePerS: oneof(
    double({ min: 0.1, max: 20, noNaN: true }),
    double({ min: 20, max: 2_000, noNaN: true }),
  ),
  burst: oneof(integer({ min: 0, max: 20 }), integer({ min: 0, max: 2_000 })),
});
const ALL_BOUNDS = record({
  windowMs: integer({ min: 1_000, max: 10_000 }),
  overrun: double({ min: 0, max: 0.3, noNaN: true }),
  slack: integer({ min: 0, max: 50 }),
});

function computeExcess(
  { ratePerS, burst }: Quota,
  { windowMs, overrun, slack }: typeof BOUNDS,
): number {
  return overrun * (ratePerS * windowMs / 1_000 + burst) + slack;
}

describe("the terms of a quota", () => {
  it("keep the sum of all parts within the bound", () => {
    // Guards against parts that each look harmless and together exceed it.
    assert(property(
      QUOTA,
      ALL_BOUNDS,
      integer({ min: 1, max: 430 }),
      (quota, bounds, gateways) => {
        const terms = computeTerms(quota, bounds, { gateways });
        const windowS = bounds.windowMs / 1_000;
        const most = terms.burst +
          terms.ratePerS * (windowS + terms.lifeMs / 1_000) +
          terms.runAhead * gateways + 2 * terms.startCredits;
        const bound = quota.ratePerS * windowS + quota.burst +
          computeExcess(quota, bounds);
        // A bucket has to hold one credit, also where the bound is below one.
        expect(most).to.be.at.most(Math.max(bound, 1) + 1e-6);
      },
    ));
  });

  it("grant the whole rate wherever the bounds leave some excess", () => {
    // Guards against 429s within the quota at the bounds in service.
    assert(property(QUOTA, integer({ min: 3, max: 430 }), (quota, gateways) => {
      const terms = computeTerms(quota, BOUNDS, { gateways });
      expect(terms.ratePerS).to.be.at.least(quota.ratePerS * 0.999);
      expect(terms.burst).to.be.at.least(quota.burst);
    }));
  });
});

describe("the bucket of a quota", () => {
  it("grants no more than burst and rate allow in any span", () => {
    // Guards against rounding, and retries, that create credits.
    const steps = array(record({
      gapMs: integer({ min: 0, max: 700 }),
      wanted: integer({ min: 0, max: 20 }),
    }));
    assert(property(QUOTA, steps, (quota, taken) => {
      const terms = computeTerms(quota, BOUNDS, { gateways: 75 });
      const bucket = new QuotaBucket(terms, 0);
      const grants: { atMs: number; credits: number }[] = [];
      let nowMs = 0;
      for (const { gapMs, wanted } of taken) {
        nowMs += gapMs;
        const decision = bucket.take(wanted, SURE, nowMs);
        if (decision.kind !== "granted") throw new Error(decision.kind);
        expect(decision.credits).to.be.within(0, wanted);
        if (decision.credits < wanted) {
          expect(decision.retryMs).to.be.within(1, 2_000);
        }
        grants.push({ atMs: nowMs, credits: decision.credits });
      }
      for (const [index, { atMs }] of grants.entries()) {
        let sum = 0;
        for (const later of grants.slice(index)) {
          sum += later.credits;
          const spanS = (later.atMs - atMs) / 1_000;
          expect(sum).to.be
            .at.most(terms.burst + terms.ratePerS * spanS + 0.001);
        }
      }
    }));
  });

  it("has a credit when the time has come that it named", () => {
    // Guards against callers that return too early and are refused again.
    assert(property(QUOTA, (quota) => {
      const terms = computeTerms(quota, BOUNDS, { gateways: 75 });
      const bucket = new QuotaBucket(terms, 0);
      bucket.take(Math.floor(terms.burst), SURE, 0);
      const denied = bucket.take(1, SURE, 0);
      if (denied.kind !== "granted") throw new Error(denied.kind);
      // The rest of a credit may round to one; later times aren't told.
      if (denied.credits > 0 || denied.retryMs === 2_000) return;
      const { retryMs } = denied;
      expect(bucket.take(1, SURE, retryMs)).to.include({ credits: 1 });
    }));
  });

  it("spreads callers over the time in which credits come", () => {
    // Guards against all gateways returning at the same time.
    const terms = computeTerms({ ratePerS: 10, burst: 1 }, BOUNDS, {
      gateways: 75,
    });
    const bucket = new QuotaBucket(terms, 0);
    bucket.take(2, SURE, 0);
    const retries = [1, 2, 3, 4].map(() => {
      const decision = bucket.take(1, SURE, 0);
      return decision.kind === "granted" ? decision.retryMs : 0;
    });
    for (const [index, retryMs] of retries.slice(1).entries()) {
      expect(retryMs - (retries[index] ?? 0)).to.be.within(90, 110);
    }
  });

  it("grants few credits until no other gateway can grant", () => {
    // Guards against two homes that both grant the whole quota.
    const terms = computeTerms({ ratePerS: 500, burst: 300 }, BOUNDS, {
      gateways: 75,
    });
    const unsure = { ...SURE, settlesInMs: SETTLE_MS, settledForMs: 0 };
    const bucket = new QuotaBucket(terms, 0);
    bucket.reset(unsure, 0);
    let granted = 0;
    for (let atMs = 0; atMs < SETTLE_MS; atMs += 10) {
      const standing = { ...unsure, settlesInMs: SETTLE_MS - atMs };
      const decision = bucket.take(10, standing, atMs);
      if (decision.kind === "granted") granted += decision.credits;
    }
    expect(granted).to.be.within(1, terms.startCredits);
    const last = bucket.take(1, { ...unsure, settlesInMs: 5 }, SETTLE_MS);
    expect(last).to.deep.equal({ kind: "unsettled", retryMs: 5 });
    expect(bucket.take(10, SURE, SETTLE_MS + 5)).to.include({ credits: 10 });
  });

  it("grants its starting credits once a window", () => {
    // Guards against a home that is lost and regained again and again while
    // messages get lost, and starts each time.
    const terms = computeTerms({ ratePerS: 500, burst: 300 }, BOUNDS, {
      gateways: 75,
    });
    const bucket = new QuotaBucket(terms, 0);
    let granted = 0;
    for (let atMs = 0; atMs < BOUNDS.windowMs; atMs += 500) {
      const unsure = { ...SURE, settlesInMs: SETTLE_MS, settledForMs: 0 };
      bucket.reset(unsure, atMs);
      const decision = bucket.take(100, unsure, atMs);
      if (decision.kind === "granted") granted += decision.credits;
    }
    expect(granted).to.be.within(1, 2 * terms.startCredits);
  });
});

describe("the home of quotas", () => {
  const CALL = {
    tenant: "a",
    quota: { ratePerS: 10, burst: 10 },
    configurationVersion: 2,
    credits: 100,
  };

  function createHome(): { home: QuotaHome; taken: string[] } {
    const taken: string[] = [];
    const onTakeover = (tenant: string) => taken.push(tenant);
    return { home: new QuotaHome({ bounds: BOUNDS, onTakeover }), taken };
  }

  function buildInputs(nowMs: number, standing: Partial<HomeStanding> = {}) {
    return {
      nowMs,
      gateways: 75,
      standing: { ...SURE, ...standing },
      own: undefined,
    };
  }

  it("adds no burst when it takes a tenant over again", () => {
    // Guards against a full burst of each of two gateways in turn.
    const { home, taken } = createHome();
    home.take(CALL, buildInputs(100_000));
    // Another gateway was the home in between, and was lost.
    const again = buildInputs(200_000, { sinceMs: 199_000, settledForMs: 0 });
    const bigger = { ...CALL, quota: { ratePerS: 10, burst: 500 } };
    const decision = home.take(bigger, again);
    expect(decision).to.have.property("credits").that.is.at.most(20);
    expect(taken).to.deep.equal(["a"]);
  });

  it("keeps a lower limit against calls with a former configuration", () => {
    // Guards against a gateway that brings a higher limit back.
    const { home } = createHome();
    const lower = {
      ...CALL,
      quota: { ratePerS: 1, burst: 1 },
      configurationVersion: 3,
    };
    home.take(lower, buildInputs(100_000));
    expect(home.take(CALL, buildInputs(100_000)))
      .to.have.property("credits", 0);
    const own = { quota: undefined, configurationVersion: 4 };
    expect(home.take(CALL, { ...buildInputs(100_000), own }))
      .to.deep.equal({ kind: "unlimited" });
  });

  it("forgets tenants whose buckets are full, and only those", () => {
    // Guards against memory that grows with every tenant, and against a bucket
    // that is forgotten while it's empty.
    const { home } = createHome();
    for (let index = 0; index < 10_000; index += 1) {
      home.take({ ...CALL, tenant: `t${index}` }, buildInputs(100_000));
    }
    const slow = { ...CALL, quota: { ratePerS: 0.1, burst: 10 } };
    home.take({ ...slow, tenant: "slow" }, buildInputs(100_000));
    home.removeUnused(101_000);
    expect(home.size).to.equal(10_001);
    home.removeUnused(140_000);
    expect(home.size).to.equal(1);
    for (let index = 0; index < 50_000; index += 1) {
      home.take({ ...CALL, tenant: `u${index}` }, buildInputs(140_000));
    }
    expect(home.size).to.equal(20_000);
  });
});

describe("the standing of a home", () => {
  const view = (vmIds: readonly string[], reachable: number) => ({
    candidates: new Set(vmIds),
    isLeaving: () => false,
    reachable,
    members: 4,
  });

  it("counts a part of the group only after it has been back for long", () => {
    // Guards against groups that heal and are counted by both homes.
    const standing = new GroupStanding({ vmId: "a", windowMs: 5_000 }, 0);
    standing.record(view(["a"], 4), 0);
    standing.record(view(["a"], 2), 500);
    expect(standing.computeShare(500)).to.equal(0.5);
    standing.record(view(["a"], 4), 1_000);
    expect(standing.computeShare(1_000 + SETTLE_MS - 1)).to.equal(0.5);
    expect(standing.computeShare(1_000 + SETTLE_MS)).to.equal(1);
  });

  it("isn't sure after a better home was lost, or after a pause", () => {
    // Guards against a home that was suspended and goes on where others took
    // over.
    const standing = new GroupStanding({ vmId: "a", windowMs: 5_000 }, 0);
    const others = ["b", "c", "d"];
    for (let atMs = 0; atMs <= 10_000; atMs += 100) {
      standing.record(view(["a", ...others], 4), atMs);
    }
    const keys = Array.from({ length: 20 }, (_, index) => `key ${index}`);
    const countUnsure = (nowMs: number) =>
      keys.filter((key) => standing.compute(key, nowMs).settlesInMs > 0).length;
    expect(countUnsure(10_000)).to.equal(0);
    standing.record(view(["a"], 1), 10_100);
    expect(countUnsure(10_100)).to.be.within(1, keys.length - 1);
    for (let atMs = 10_200; atMs <= 16_000; atMs += 100) {
      standing.record(view(["a"], 1), atMs);
    }
    expect(countUnsure(16_000)).to.equal(0);
    standing.record(view(["a"], 1), 18_000);
    expect(countUnsure(18_000)).to.equal(keys.length);
  });
});

describe("a gateway's credits of one tenant", () => {
  it("expire a short time after the call that they were granted to", () => {
    // Guards against grants of one window that are used in the next.
    const account = new CreditAccount(0);
    account.addGrant(3, { sentAtMs: 0, lifeMs: 1_000 });
    expect(account.take(BATCH_LIFE_MS - 1)).to.include({ sendUntilMs: 1_000 });
    expect(account.take(BATCH_LIFE_MS)).to.equal(undefined);
  });

  it("repay first what was used ahead, and never run further ahead", () => {
    // Guards against requests ahead that no grant ever covers.
    assert(property(
      array(integer({ min: 0, max: 4 }), { minLength: 1 }),
      integer({ min: 0, max: 5 }),
      (grants, runAhead) => {
        const account = new CreditAccount(0);
        let granted = 0;
        let used = 0;
        for (const credits of grants) {
          account.addGrant(credits, { sentAtMs: 0, lifeMs: 1_000 });
          granted += credits;
          while (account.take(1) !== undefined) used += 1;
          while (account.takeAhead({ runAhead, lifeMs: 1_000 }, 1)) used += 1;
          expect(used).to.equal(granted + account.debt);
          expect(account.debt).to.be.at.most(runAhead);
          expect(account.computeWanted(2, 1)).to.be.at.least(account.debt + 2);
        }
      },
    ));
  });

  it("return with requests that weren't sent, while they last", () => {
    // Guards against a refused request that uses up the quota, and against a
    // returned credit that outlives its grant.
    const account = new CreditAccount(0);
    account.addGrant(1, { sentAtMs: 0, lifeMs: 1_000 });
    const credit = account.take(0);
    if (credit === undefined) throw new Error("no credit");
    account.release(credit, 100);
    expect(account.countCredits(100)).to.equal(1);
    expect(account.countCredits(BATCH_LIFE_MS)).to.equal(0);
    account.release(credit, BATCH_LIFE_MS);
    expect(account.countCredits(BATCH_LIFE_MS)).to.equal(0);
  });

  it("are requested in advance only as far as they're used almost surely", () => {
    // Guards against credits that expire unused, which a tenant lacks.
    const demand = new DemandEstimate(0);
    for (let atMs = 0; atMs < 5_000; atMs += 10) demand.record(atMs);
    expect(demand.computeBatch(5_000)).to.be.within(8, 20);
    const seldom = new DemandEstimate(0);
    for (let atMs = 0; atMs < 5_000; atMs += 100) seldom.record(atMs);
    expect(seldom.computeBatch(5_000)).to.equal(0);
  });
});

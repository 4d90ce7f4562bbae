import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import type { Quota } from "../model/tenant.ts";
import {
  BOUNDS,
  buildTenant,
  computeBound,
  QuotaInstallation,
} from "./quota_installation_test.ts";

const GATEWAYS = 75;
/** How far a hot tenant exceeds its quota. */
const HOT = 7.5;
const QUOTAS: Readonly<Record<string, Quota>> = {
  tiny: { ratePerS: 1, burst: 1 },
  small: { ratePerS: 10, burst: 10 },
  medium: { ratePerS: 60, burst: 30 },
  large: { ratePerS: 400, burst: 100 },
};
const TENANTS = Object.entries(QUOTAS)
  .map(([name, quota]) => buildTenant(name, quota));

describe("quotas over many gateways", () => {
  let time: VirtualTime;
  let installation: QuotaInstallation;

  beforeEach(() => {
    time = new VirtualTime();
    installation = new QuotaInstallation(time, {
      gateways: GATEWAYS,
      tenants: TENANTS,
      seed: 7,
    });
  });

  afterEach(() => time.restore());

  function offerHot(durationMs: number, names = Object.keys(QUOTAS)): void {
    for (const name of names) {
      const perS = HOT * (QUOTAS[name]?.ratePerS ?? 0);
      installation.offer(name, { perS, durationMs });
    }
  }

  /** Expects that no window held more than its bound. */
  function checkWindows(): void {
    for (const [name, quota] of Object.entries(QUOTAS)) {
      const most = installation.findCounts(name).countMost(BOUNDS.windowMs);
      expect(most, name).to.be.at.most(computeBound(quota));
    }
  }

  it("hold for hot tenants, which get what they are entitled to", async () => {
    // Guards against too many requests in a window, and against credits that
    // expire unused, so that a hot tenant gets less than its rate.
    offerHot(15_000);
    await installation.run(15_000);
    checkWindows();
    for (const [name, { ratePerS }] of Object.entries(QUOTAS)) {
      const { sentAtMs } = installation.findCounts(name);
      expect(sentAtMs.length, name).to.be.at.least(0.9 * ratePerS * 12);
    }
  }).timeout(120_000);

  /** Expects that nothing was refused. */
  function checkNoRefusals(names = Object.keys(QUOTAS)): void {
    for (const name of names) {
      const { denied, undecided } = installation.findCounts(name);
      expect({ denied, undecided }, name)
        .to.deep.equal({ denied: 0, undecided: 0 });
    }
  }

  it("refuse nothing within the quota in calm", async () => {
    // Guards against 429s of tenants that keep their quota, whose requests
    // come through all gateways at random.
    await installation.run(2_500);
    for (const [name, quota] of Object.entries(QUOTAS)) {
      installation.offerWithinQuota(name, quota, 20_000);
    }
    await installation.run(21_000);
    checkWindows();
    checkNoRefusals();
  }).timeout(120_000);

  it("refuse nothing within a small quota right after the start", async () => {
    // Guards against homes that decide nothing until they are sure that no
    // other gateway decides.
    for (const name of ["tiny", "small"]) {
      const quota = QUOTAS[name];
      if (quota === undefined) throw new Error(`no tenant ${name}`);
      installation.offer(name, { perS: quota.ratePerS / 2, durationMs: 6_000 });
    }
    await installation.run(7_000);
    checkWindows();
    expect(installation.findCounts("small").undecided).to.equal(0);
  }).timeout(120_000);

  it("let most requests of a large tenant go without a wait", async () => {
    // Guards against a round trip to the home for each request.
    await installation.run(6_000);
    installation.offer("large", { perS: 300, durationMs: 10_000 });
    await installation.run(11_000);
    const { waitedMs } = installation.findCounts("large");
    const without = waitedMs.filter((waited) => waited === 0).length;
    expect(without / waitedMs.length).to.be.at.least(0.75);
    checkNoRefusals(["large"]);
  }).timeout(120_000);

  it("hold while homes end, start and leave", async () => {
    // Guards against each new home granting another burst.
    offerHot(24_000);
    for (let round = 0; round < 8; round += 1) {
      await installation.run(3_000);
      for (const name of Object.keys(QUOTAS)) {
        const home = installation.findHome(name);
        if (home === undefined) continue;
        if (round % 2 === 0) home.isAlive = false;
        else installation.restart(home);
      }
    }
    checkWindows();
  }).timeout(120_000);

  it("hold while regions are cut off from each other, and after", async () => {
    // Guards against a home in each group that grants the whole quota.
    offerHot(36_000);
    await installation.run(8_000);
    for (const member of installation.members) {
      member.group = member.info.region === "region-0" ? 1 : 2;
    }
    await installation.run(12_000);
    for (const member of installation.members) member.group = 0;
    await installation.run(16_000);
    checkWindows();
  }).timeout(120_000);

  it("hold while three regions are cut off from each other", async () => {
    // Guards against shares that add up only for two groups.
    offerHot(26_000);
    await installation.run(8_000);
    for (const member of installation.members) {
      member.group = Number(member.info.region.split("-")[1]);
    }
    await installation.run(10_000);
    for (const member of installation.members) member.group = 0;
    await installation.run(8_000);
    checkWindows();
  }).timeout(120_000);

  it("hold while a single gateway or a few are cut off", async () => {
    // Guards against a small group that isn't noticed by the others.
    offerHot(30_000);
    await installation.run(6_000);
    for (const size of [1, 5, 20]) {
      for (const member of installation.members.slice(0, size)) {
        member.group = size;
      }
      await installation.run(5_000);
      for (const member of installation.members) member.group = 0;
      await installation.run(3_000);
    }
    checkWindows();
  }).timeout(120_000);

  it("hold while gateways, and the homes, are suspended", async () => {
    // Guards against credits and requests that outlive a suspended VM, and
    // against a home that goes on where it was replaced.
    offerHot(30_000);
    await installation.run(6_000);
    for (const durationMs of [400, 1_500, 4_000, 7_000]) {
      for (const member of installation.members.slice(0, 25)) {
        installation.suspend(member, durationMs);
      }
      for (const name of Object.keys(QUOTAS)) {
        const home = installation.findHome(name);
        if (home !== undefined) installation.suspend(home, durationMs);
      }
      await installation.run(6_000);
    }
    checkWindows();
  }).timeout(120_000);

  for (const seed of [1, 3, 7]) {
    it(`hold while messages get lost, seed ${seed}`, async () => {
      // Guards against grants that are counted twice, or not at all, and
      // against homes that start again whenever others are suspected.
      installation = new QuotaInstallation(time, {
        gateways: GATEWAYS,
        tenants: TENANTS,
        seed,
      });
      installation.lossRate = 0.05;
      offerHot(20_000);
      await installation.run(20_000);
      checkWindows();
    }).timeout(120_000);
  }

  it("hold when requests that waited for targets are sent at once", async () => {
    // Guards against credits of several seconds that are used in one window.
    offerHot(20_000);
    await installation.run(6_000);
    installation.targetsFullUntilMs = time.nowMs + 4_000;
    await installation.run(14_000);
    checkWindows();
  }).timeout(120_000);

  it("hold one window after all gateways know a lower limit", async () => {
    // Guards against a home that goes on with a former, higher limit, and
    // against gateways that bring it back.
    const lower = { ratePerS: 40, burst: 10 };
    offerHot(24_000, ["large"]);
    await installation.run(8_000);
    for (const [index, member] of installation.members.entries()) {
      setTimeout(() => {
        member.version = 2;
        member.tenants = TENANTS.map((each) =>
          each.name === "large" ? buildTenant("large", lower) : each
        );
      }, index * 50);
    }
    await installation.run(4_000);
    const fromMs = time.nowMs + BOUNDS.windowMs;
    await installation.run(12_000);
    const counts = installation.findCounts("large");
    expect(counts.countMost(BOUNDS.windowMs, fromMs))
      .to.be.at.most(computeBound(lower));
    expect(counts.countMost(BOUNDS.windowMs, fromMs))
      .to.be.at.least(0.8 * lower.ratePerS * BOUNDS.windowMs / 1_000);
  }).timeout(120_000);

  it("hold with old builds in the group, which get no new messages", async () => {
    // Guards against a home of an old build, which closes the connection, and
    // against a larger quota of the others while an old build is the home.
    offerHot(24_000);
    await installation.run(6_000);
    for (const member of installation.members.slice(0, 25)) {
      installation.replaceByOld(member);
    }
    for (const name of Object.keys(QUOTAS)) {
      const home = installation.findHome(name);
      if (home !== undefined) installation.replaceByOld(home);
    }
    await installation.run(18_000);
    checkWindows();
    expect(installation.unknownKinds).to.equal(0);
    const { sentAtMs } = installation.findCounts("medium");
    expect(sentAtMs.length).to.be.at.least(0.8 * 60 * 20);
  }).timeout(120_000);
});

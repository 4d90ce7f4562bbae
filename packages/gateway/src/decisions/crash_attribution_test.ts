import { expect } from "chai";
import { BlockedRequests } from "./blocked_requests.ts";
import type { Fingerprint } from "../model/request_fingerprint.ts";
import { TRIAL_MS } from "./address_trials.ts";
import { CrashAttribution, FIRST_BLOCK_MS } from "./crash_attribution.ts";
import { createRandom, simulateCrashes } from "./crash_simulation_test.ts";

const COLLECT_MS = 150;
const FINGERPRINT: Fingerprint = { request: "f1", resource: "r1" };
/** Sends of one request after its third crash and the bound for contact. */
const MAX_LATE_SENDS = 3;
/** What the users accept as wrongly ended requests. */
const MAX_REFUSED_HARMLESS = 1 / 500;

describe("the attribution of crashes to requests", () => {
  let attribution: CrashAttribution;
  let nowMs: number;
  let ends: number;
  let resources: string[];
  let trials: string[];
  let resourceCrashes: number | undefined;

  beforeEach(() => {
    attribution = new CrashAttribution();
    nowMs = 0;
    ends = 0;
  });

  /** Reports the end of a target and returns what is blocked for it. */
  function crash(requests: string[], address?: string): string[] {
    ends += 1;
    attribution.record({
      service: "s",
      incarnation: `i${ends}`,
      address: address ?? `a${ends}`,
      requests: requests.map(buildFingerprint),
      ageMs: 0,
    }, nowMs);
    nowMs += COLLECT_MS;
    const decision = attribution.settle(nowMs);
    resources = decision.resources.map(({ fingerprint }) => fingerprint);
    trials = decision.trials.map(({ fingerprint, avoidedAddress }) =>
      `${fingerprint} avoids ${avoidedAddress}`
    );
    resourceCrashes = decision.resources[0]?.crashes;
    return decision.requests.map(({ fingerprint }) => fingerprint);
  }

  it("blocks what ran alone at the ends of two targets", () => {
    expect(crash(["crashing"])).to.deep.equal([]);
    expect(crash(["crashing"])).to.deep.equal(["crashing"]);
  });

  it("blocks none of two that were only seen together, until one goes on", () => {
    expect(crash(["crashing", "harmless"])).to.deep.equal([]);
    expect(crash(["crashing", "harmless"])).to.deep.equal([]);
    expect(crash(["crashing"])).to.deep.equal(["crashing"]);
    expect(crash(["harmless"])).to.deep.equal([]);
  });

  it("holds the ends that a blocked request explains against nobody else", () => {
    crash(["crashing", "harmless"]);
    expect(crash(["crashing"])).to.deep.equal(["crashing"]);
    expect(crash(["crashing", "harmless"])).to.deep.equal([]);
    expect(crash(["harmless"])).to.deep.equal([]);
  });

  it("isn't to a request at one VM that keeps ending", () => {
    for (let round = 0; round < 10; round += 1) {
      expect(crash(["steady"], "same VM")).to.deep.equal([]);
    }
  });

  // A service with one target a failure domain never gives a second address.
  it("is to what ends one VM three times, which lives without it", () => {
    expect(crash(["crashing"], "a")).to.deep.equal([]);
    expect(trials).to.deep.equal([]);
    nowMs += 5_000;
    expect(crash(["crashing"], "a")).to.deep.equal([]);
    expect(trials).to.deep.equal(["crashing avoids a"]);
    nowMs += TRIAL_MS;
    expect(crash(["crashing", "harmless"], "a")).to.deep.equal(["crashing"]);
  });

  it("takes several trials at a VM that ends without it, too", () => {
    for (let round = 1; round <= 3; round += 1) {
      expect(crash(["steady"], "a"), `end ${round}`).to.deep.equal([]);
      nowMs += TRIAL_MS / 2;
      expect(crash(["another"], "a")).to.deep.equal([]);
      attribution.release("another");
      nowMs += TRIAL_MS;
    }
    expect(crash(["steady"], "a")).to.deep.equal(["steady"]);
  });

  it("is to each of two that end the same VM by turns", () => {
    for (const request of ["first", "first", "second", "second"]) {
      expect(crash([request], "a")).to.deep.equal([]);
      nowMs += 1_000;
    }
    nowMs += TRIAL_MS;
    expect(crash(["first"], "a")).to.deep.equal(["first"]);
    expect(crash(["second"], "a")).to.deep.equal(["second"]);
  });

  it("is after one more trial if the request ran during the first", () => {
    crash(["crashing"], "a");
    crash(["crashing"], "a");
    nowMs += TRIAL_MS / 2;
    expect(crash(["crashing"], "a")).to.deep.equal([]);
    expect(trials).to.deep.equal(["crashing avoids a"]);
    nowMs += TRIAL_MS / 2 + 1_000;
    expect(crash(["crashing"], "a")).to.deep.equal([]);
    nowMs += TRIAL_MS;
    expect(crash(["crashing"], "a")).to.deep.equal(["crashing"]);
  });

  it("isn't to a request for the end of a whole failure domain", () => {
    for (let each = 0; each < 20; each += 1) {
      expect(crash([`r${each}`, `s${each}`])).to.deep.equal([]);
    }
  });

  it("blocks for longer when it's let in and does it again", () => {
    crash(["crashing"]);
    crash(["crashing"]);
    expect(crash(["crashing"]), "sent before it was blocked").to.deep.equal([]);
    nowMs += FIRST_BLOCK_MS;
    ends += 1;
    attribution.record({
      service: "s",
      incarnation: `i${ends}`,
      address: "b",
      requests: ["crashing", "harmless"].map(buildFingerprint),
      ageMs: 0,
    }, nowMs);
    nowMs += COLLECT_MS;
    const [again] = attribution.settle(nowMs).requests;
    expect(again?.fingerprint).to.equal("crashing");
    expect(again?.leftMs).to.equal(2 * FIRST_BLOCK_MS);
  });

  it("starts anew with a request that has completed", () => {
    crash(["doubted"]);
    crash(["doubted"]);
    attribution.release("doubted");
    expect(crash(["doubted"])).to.deep.equal([]);
  });

  it("blocks no resource for a request that has completed", () => {
    crash(["object/1"]);
    expect(crash(["object/1"])).to.deep.equal(["object/1"]);
    attribution.release("object/1");
    crash(["object/2"]);
    expect(resources).to.deep.equal([]);
  });

  it("blocks a resource when a second request about it meets an end", () => {
    crash(["object/1", "other/1"]);
    expect(crash(["object/1"])).to.deep.equal(["object/1"]);
    expect(resources).to.deep.equal([]);
    crash(["other/2", "third/1"]);
    expect(resources).to.deep.equal([]);
    crash(["object/2", "other/3"]);
    expect(resources).to.deep.equal(["about object"]);
    expect(resourceCrashes).to.equal(3);
    crash(["object/3"]);
    expect(resources, "once").to.deep.equal([]);
  });

  it("counts the reports of several gateways as one end", () => {
    const report = { service: "s", incarnation: "i", address: "a", ageMs: 0 };
    for (const names of [["f1"], ["f1", "f2"], ["f3"]]) {
      const requests = names.map(buildFingerprint);
      attribution.record({ ...report, requests }, nowMs);
      nowMs += 10;
    }
    nowMs += COLLECT_MS;
    expect(attribution.settle(nowMs).requests).to.deep.equal([]);
  });
});

function buildFingerprint(request: string): Fingerprint {
  // A request may be named "resource/request".
  const [resource = ""] = request.split("/");
  return { request, resource: `about ${resource}` };
}

describe("the blocked requests of a gateway", () => {
  const notice = {
    fingerprint: "f1",
    service: "s",
    crashes: 2,
    leftMs: 1_000,
    firstCrashAgeMs: 500,
  };

  it("are let in again after their time or at once", () => {
    const blocked = new BlockedRequests();
    expect(blocked.apply(notice, 0)).to.equal("blocked");
    expect(blocked.apply(notice, 10)).to.equal("none");
    expect(blocked.find(FINGERPRINT, 500)?.untilMs).to.equal(1_010);
    expect(blocked.find(FINGERPRINT, 1_010)).to.equal(undefined);
    expect(blocked.takeExpired(1_010)).to.deep.equal(["f1"]);
    blocked.apply(notice, 2_000);
    expect(blocked.apply({ ...notice, leftMs: 0 }, 2_001)).to.equal("let_in");
    expect(blocked.find(FINGERPRINT, 2_002)).to.equal(undefined);
    // A gateway that hasn't heard of that tells it once more.
    expect(blocked.apply(notice, 2_300)).to.equal("none");
    expect(blocked.find(FINGERPRINT, 2_301)).to.equal(undefined);
    // It has met ends since.
    expect(blocked.apply(notice, 9_000)).to.equal("blocked");
  });

  it("don't include what has completed since the first end", () => {
    const blocked = new BlockedRequests();
    blocked.recordCompleted(FINGERPRINT, 9_600);
    expect(blocked.apply(notice, 10_000)).to.equal("contradicted");
    blocked.recordCompleted(FINGERPRINT, 20_000);
    expect(blocked.apply(notice, 30_000)).to.equal("blocked");
  });

  it("avoid an address for a while, unless they have completed since", () => {
    const blocked = new BlockedRequests();
    const trial = { ...notice, avoidedAddress: "a" };
    expect(blocked.apply(trial, 0)).to.equal("avoiding");
    expect(blocked.find(FINGERPRINT, 10)).to.equal(undefined);
    expect(blocked.findTrial(FINGERPRINT, 10)?.address).to.equal("a");
    expect(blocked.findTrial(FINGERPRINT, 1_000)).to.equal(undefined);
    blocked.apply(trial, 2_000);
    blocked.apply({ ...trial, leftMs: 0 }, 2_100);
    expect(blocked.findTrial(FINGERPRINT, 2_200)).to.equal(undefined);
    blocked.recordCompleted(FINGERPRINT, 5_000);
    expect(blocked.apply(trial, 5_100)).to.equal("contradicted");
  });

  it("stay bounded when a caller sends ever other requests", () => {
    const blocked = new BlockedRequests();
    for (let each = 0; each < 20_000; each += 1) {
      blocked.recordCompleted(buildFingerprint(`c${each}`), each);
      blocked.apply({ ...notice, fingerprint: `f${each}`, leftMs: 1e6 }, each);
    }
    expect(blocked.size).to.equal(1_000);
    expect(blocked.find(buildFingerprint("f19999"), 20_000)).to.not.equal(
      undefined,
    );
    expect(blocked.hasCompleted("c19999")).to.equal(true);
    expect(blocked.hasCompleted("c0")).to.equal(false);
  });
});

describe("many gateways with a few requests that crash targets", () => {
  for (const [gateways, targets] of [[8, 6], [60, 31], [430, 600]] as const) {
    it(`stop them and spare the harmless: ${gateways} gateways`, () => {
      let refusedHarmless = 0;
      for (let seed = 1; seed <= 10; seed += 1) {
        const seen = simulateCrashes({
          random: createRandom(seed),
          gateways,
          targets,
          crashing: 4,
          ownEndsPerSecond: 0.5,
          durationMs: 30_000,
        });
        expect(seen.mostLateSends, `seed ${seed}`).to.be.at.most(
          MAX_LATE_SENDS,
        );
        refusedHarmless += seen.refusedHarmless / seen.harmless;
      }
      expect(refusedHarmless / 10).to.be.below(MAX_REFUSED_HARMLESS);
    });
  }

  // A request that goes to one target only was never told from a target that
  // ends by itself.
  for (
    const [gateways, targets, ownEndsPerSecond, crashingIntervalMs] of [
      [8, 1, 0.05, 500],
      [8, 3, 0.2, 4_000],
      [60, 1, 0.05, 2_000],
      [430, 3, 0.1, 500],
    ] as const
  ) {
    it(`stop those at one of ${targets} targets: ${gateways} gateways`, () => {
      let refusedHarmless = 0;
      for (let seed = 1; seed <= 100; seed += 1) {
        const seen = simulateCrashes({
          random: createRandom(seed),
          gateways,
          targets,
          crashing: 2,
          ownEndsPerSecond,
          crashingIntervalMs,
          isSticky: true,
          durationMs: 90_000,
        });
        expect(seen.mostLateSends, `seed ${seed}`).to.be.at.most(
          MAX_LATE_SENDS,
        );
        refusedHarmless += seen.refusedHarmless / seen.harmless;
      }
      expect(refusedHarmless / 100).to.be.below(MAX_REFUSED_HARMLESS);
    });
  }

  it("refuse nothing at a target that only ends by itself", () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const seen = simulateCrashes({
        random: createRandom(seed),
        gateways: 8,
        targets: 1,
        crashing: 0,
        ownEndsPerSecond: 0.3,
        isSticky: true,
        durationMs: 90_000,
      });
      expect(seen.refusedHarmless / seen.harmless, `seed ${seed}`)
        .to.be.below(MAX_REFUSED_HARMLESS);
    }
  });
});

import { expect } from "chai";
import type {
  MembershipView,
  NodeView,
  TargetLoad,
  TargetSpec,
} from "@camphorlock/types";
import type { PlacementRequest } from "../owner/mod.ts";
import { Placement } from "./placement.ts";
import {
  DEFAULT_PLACEMENT_SETTINGS,
  type PlacementSettings,
} from "./settings.ts";

const REGIONS = ["marmara", "ege"];

function buildTarget(number: number): TargetSpec {
  const region = REGIONS[number % 2] ?? "";
  return {
    targetId: `t${number}`,
    kind: "engine",
    serves: ["m"],
    region,
    failureDomain: region,
    address: "",
    checksFencing: true,
    leaving: false,
  };
}

function buildNode(number: number): NodeView {
  const region = REGIONS[number % 2] ?? "";
  return {
    state: "alive",
    revision: 1,
    spec: {
      vmId: `n${number}`,
      incarnation: 1,
      region,
      failureDomain: region,
      peerAddress: "",
      callerAddress: "",
      hasDisk: false,
    },
  };
}

/** Overrides of the default load; `tokenMs: undefined` leaves that field out. */
type LoadOverrides = Partial<Omit<TargetLoad, "tokenMs">> & {
  readonly tokenMs?: number | undefined;
};

function buildLoad(targetId: string, overrides: LoadOverrides): TargetLoad {
  const { tokenMs, ...rest } = { tokenMs: 25, ...overrides };
  return {
    ...(tokenMs === undefined ? {} : { tokenMs }),
    targetId,
    running: 10,
    queued: 0,
    limit: 24,
    queuedPromptTokens: 0,
    relativeSpeed: 1,
    slotMs: 4_000,
    prefillTokens: 0,
    ...rest,
  };
}

const REQUEST: PlacementRequest = {
  callId: "p.c",
  programId: "p",
  partner: "zincir",
  programClass: "standard",
  agent: "a",
  call: { kind: "model", model: "m", messages: [], maxTokens: 100 },
  promptTokens: 10_000,
  excluded: [],
};

class Fixture {
  targets = [0, 1, 2, 3, 4, 5].map(buildTarget);
  view: MembershipView = { self: "n0", nodes: [0, 1, 2, 3].map(buildNode) };
  readonly placement: Placement;
  #nowMs = 0;

  constructor(settings: Partial<PlacementSettings> = {}) {
    this.placement = new Placement({
      region: "marmara",
      settings: { ...DEFAULT_PLACEMENT_SETTINGS, ...settings },
      seed: 1,
      getTargets: () => this.targets,
      getRules: () => [{ partner: "okonkwo", regions: ["ege"] }],
      getView: () => this.view,
    });
  }

  receiveLoads(overrides: Readonly<Record<string, LoadOverrides>> = {}): void {
    this.#nowMs += 1_000;
    const nowMs = this.#nowMs;
    const loads = this.targets.map(({ targetId }) =>
      buildLoad(targetId, overrides[targetId] ?? {})
    );
    this.placement.handle({ kind: "loads", loads }, nowMs);
    this.placement.handle({ kind: "tick" }, nowMs);
  }

  choose(overrides: Partial<PlacementRequest> = {}): string {
    return this.placement.choose({ ...REQUEST, ...overrides }, this.#nowMs)
      .match((each) => each.targetId, (failure) => failure.name);
  }
}

describe("placement", () => {
  it("chooses the target that holds the prefix", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    fixture.placement.recordCached("p", {
      targetId: "t3",
      tokens: 9_800,
      nowMs: 0,
    });
    expect(fixture.choose()).to.equal("t3");
  });

  it("chooses another target when the holder's queue costs more than a prefill", () => {
    const fixture = new Fixture();
    fixture.receiveLoads({ t2: { running: 24, queued: 60 } });
    fixture.placement.recordCached("p", {
      targetId: "t2",
      tokens: 9_800,
      nowMs: 0,
    });
    expect(fixture.choose()).to.be.oneOf(["t0", "t4"]);
  });

  it("removes a prefix that a cache event reports as evicted", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    fixture.placement.recordCached("p", {
      targetId: "t3",
      tokens: 9_800,
      nowMs: 0,
    });
    fixture.placement.handle({
      kind: "cache_event",
      report: {
        targetId: "t3",
        programId: "p",
        kind: "evicted",
        tokens: 9_800,
        number: 1,
        atMs: 10,
      },
    }, 20);
    expect(fixture.choose()).to.be.oneOf(["t0", "t2", "t4"]);
  });

  it("stays in the region while the targets there are no worse", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    expect(fixture.choose()).to.be.oneOf(["t0", "t2", "t4"]);
    fixture.receiveLoads({
      t0: { queued: 90 },
      t2: { queued: 90 },
      t4: { queued: 90 },
    });
    expect(fixture.choose()).to.be.oneOf(["t1", "t3", "t5"]);
  });

  it("avoids a target slower than its peers, but never most of them", () => {
    const fixture = new Fixture();
    fixture.receiveLoads({ t0: { tokenMs: 125, running: 0 } });
    fixture.placement.recordCached("p", {
      targetId: "t0",
      tokens: 10_000,
      nowMs: 0,
    });
    expect(fixture.choose()).not.to.equal("t0");
    fixture.targets = [0].map(buildTarget);
    expect(fixture.choose()).to.equal("t0");
  });

  it("prefers its peers to a target that was slow", () => {
    const fixture = new Fixture();
    fixture.receiveLoads({ t0: { tokenMs: 125, running: 0 } });
    const idle = { t0: { running: 0, tokenMs: undefined } };
    const free = { running: 0 };
    fixture.receiveLoads({ ...idle, t2: free, t4: free });
    const chosen = Array.from({ length: 4 }, () => fixture.choose());
    expect(chosen).not.to.include("t0");
    const full = { running: 24, queued: 60 };
    const others = { t1: full, t2: full, t3: full, t4: full, t5: full };
    fixture.receiveLoads({ ...idle, ...others });
    expect(fixture.choose()).to.equal("t0");
  });

  it("counts its own placements until a load report covers them", () => {
    const fixture = new Fixture({ policy: { kind: "least_loaded" } });
    fixture.receiveLoads();
    const chosen = new Set([1, 2, 3, 4, 5, 6].map(() => fixture.choose()));
    expect(chosen.size).to.equal(6);
  });

  it("places a partner's calls only in the regions that its rule allows", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    for (let number = 0; number < 10; number += 1) {
      expect(fixture.choose({ partner: "okonkwo" }))
        .to.be.oneOf(["t1", "t3", "t5"]);
    }
  });

  it("reserves some targets for calls that aren't background work", () => {
    const fixture = new Fixture({ policy: { kind: "random" } });
    const countChosenTargets = (
      programClass: PlacementRequest["programClass"],
    ): number => {
      const chosen = Array.from(
        { length: 200 },
        () => fixture.choose({ programClass }),
      );
      return new Set(chosen).size;
    };
    expect(countChosenTargets("background")).to.equal(5);
    expect(countChosenTargets("short")).to.equal(6);
  });

  it("places no call on a leaving target and fails if there are no targets", () => {
    const fixture = new Fixture();
    fixture.targets = fixture.targets.map((each) => ({
      ...each,
      leaving: each.targetId !== "t1",
    }));
    expect(fixture.choose()).to.equal("t1");
    fixture.targets = [];
    expect(fixture.choose()).to.equal("NoTarget");
  });

  it("avoids excluded targets while there are others", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    const excluded = ["t0", "t1", "t2", "t3", "t4"];
    expect(fixture.choose({ excluded })).to.equal("t5");
    expect(fixture.choose({ excluded: [...excluded, "t5"] }))
      .not.to.equal("NoTarget");
  });

  it("finds an alive dispatcher in the target's region", () => {
    const fixture = new Fixture();
    const dispatcher = fixture.placement.findDispatcher("t1");
    expect(dispatcher).to.be.oneOf(["n1", "n3"]);
    const nodes = fixture.view.nodes.map((each) => ({
      ...each,
      state: each.spec.vmId === dispatcher ? "dead" as const : each.state,
    }));
    fixture.view = { ...fixture.view, nodes };
    const next = fixture.placement.findDispatcher("t1");
    expect(next).to.be.oneOf(["n1", "n3"]).and.not.equal(dispatcher);
  });

  it("logs each decision with its candidates and reason", () => {
    const fixture = new Fixture();
    fixture.receiveLoads();
    const decision = fixture.placement.choose(REQUEST, 0);
    const [log] = decision.isOk() ? decision.value.effects : [];
    expect(log?.kind).to.equal("log");
    if (log?.kind !== "log") return;
    expect(log.record.fields["reason"]).to.equal("earliest_finish");
    expect(log.record.fields["candidates"]).to.have.length(6);
  });
});

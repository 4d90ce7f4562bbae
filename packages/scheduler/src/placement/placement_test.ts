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

/** What differs from a usual load; a time between tokens may be unknown. */
type LoadPart = Partial<Omit<TargetLoad, "tokenMs">> & {
  readonly tokenMs?: number | undefined;
};

function buildLoad(targetId: string, part: LoadPart): TargetLoad {
  const { tokenMs, ...rest } = { tokenMs: 25, ...part };
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

  hear(parts: Readonly<Record<string, LoadPart>> = {}): void {
    this.#nowMs += 1_000;
    const nowMs = this.#nowMs;
    const loads = this.targets.map(({ targetId }) =>
      buildLoad(targetId, parts[targetId] ?? {})
    );
    this.placement.handle({ kind: "loads", loads }, nowMs);
    this.placement.handle({ kind: "tick" }, nowMs);
  }

  choose(part: Partial<PlacementRequest> = {}): string {
    return this.placement.choose({ ...REQUEST, ...part }, this.#nowMs)
      .match((each) => each.targetId, (failure) => failure.name);
  }
}

describe("placement", () => {
  it("goes to the target that holds the prefix", () => {
    const fixture = new Fixture();
    fixture.hear();
    fixture.placement.recordCached("p", {
      targetId: "t3",
      tokens: 9_800,
      nowMs: 0,
    });
    expect(fixture.choose()).to.equal("t3");
  });

  it("leaves the holder when its queue costs more than the prefix", () => {
    const fixture = new Fixture();
    fixture.hear({ t2: { running: 24, queued: 60 } });
    fixture.placement.recordCached("p", {
      targetId: "t2",
      tokens: 9_800,
      nowMs: 0,
    });
    expect(fixture.choose()).to.be.oneOf(["t0", "t4"]);
  });

  it("forgets a prefix that a cache event reports as evicted", () => {
    const fixture = new Fixture();
    fixture.hear();
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
    fixture.hear();
    expect(fixture.choose()).to.be.oneOf(["t0", "t2", "t4"]);
    fixture.hear({
      t0: { queued: 90 },
      t2: { queued: 90 },
      t4: { queued: 90 },
    });
    expect(fixture.choose()).to.be.oneOf(["t1", "t3", "t5"]);
  });

  it("avoids a target slower than its peers, but never most of them", () => {
    const fixture = new Fixture();
    fixture.hear({ t0: { tokenMs: 125, running: 0 } });
    fixture.placement.recordCached("p", {
      targetId: "t0",
      tokens: 10_000,
      nowMs: 0,
    });
    expect(fixture.choose()).not.to.equal("t0");
    fixture.targets = [0].map(buildTarget);
    expect(fixture.choose()).to.equal("t0");
  });

  it("returns to a target that was slow only after its peers", () => {
    const fixture = new Fixture();
    fixture.hear({ t0: { tokenMs: 125, running: 0 } });
    const idle = { t0: { running: 0, tokenMs: undefined } };
    const free = { running: 0 };
    fixture.hear({ ...idle, t2: free, t4: free });
    const chosen = Array.from({ length: 4 }, () => fixture.choose());
    expect(chosen).not.to.include("t0");
    const full = { running: 24, queued: 60 };
    const others = { t1: full, t2: full, t3: full, t4: full, t5: full };
    fixture.hear({ ...idle, ...others });
    expect(fixture.choose()).to.equal("t0");
  });

  it("counts its own placements until it hears of them", () => {
    const fixture = new Fixture({ policy: { kind: "least_loaded" } });
    fixture.hear();
    const chosen = new Set([1, 2, 3, 4, 5, 6].map(() => fixture.choose()));
    expect(chosen.size).to.equal(6);
  });

  it("keeps a partner's work to the regions that its rule allows", () => {
    const fixture = new Fixture();
    fixture.hear();
    for (let number = 0; number < 10; number += 1) {
      expect(fixture.choose({ partner: "okonkwo" }))
        .to.be.oneOf(["t1", "t3", "t5"]);
    }
  });

  it("keeps some targets free of background work", () => {
    const fixture = new Fixture({ policy: { kind: "random" } });
    const list = (programClass: PlacementRequest["programClass"]): number => {
      const chosen = Array.from(
        { length: 200 },
        () => fixture.choose({ programClass }),
      );
      return new Set(chosen).size;
    };
    expect(list("background")).to.equal(5);
    expect(list("short")).to.equal(6);
  });

  it("uses no leaving target and fails without any", () => {
    const fixture = new Fixture();
    fixture.targets = fixture.targets.map((each) => ({
      ...each,
      leaving: each.targetId !== "t1",
    }));
    expect(fixture.choose()).to.equal("t1");
    fixture.targets = [];
    expect(fixture.choose()).to.equal("NoTarget");
  });

  it("tries another target than the excluded ones while there is one", () => {
    const fixture = new Fixture();
    fixture.hear();
    const excluded = ["t0", "t1", "t2", "t3", "t4"];
    expect(fixture.choose({ excluded })).to.equal("t5");
    expect(fixture.choose({ excluded: [...excluded, "t5"] }))
      .not.to.equal("NoTarget");
  });

  it("agrees on a dispatcher near the target among living nodes", () => {
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
    fixture.hear();
    const decision = fixture.placement.choose(REQUEST, 0);
    const [log] = decision.isOk() ? decision.value.effects : [];
    expect(log?.kind).to.equal("log");
    if (log?.kind !== "log") return;
    expect(log.record.fields["reason"]).to.equal("earliest_finish");
    expect(log.record.fields["candidates"]).to.have.length(6);
  });
});

import { expect } from "chai";
import type { TargetLoad } from "@camphorlock/types";
import { Admission } from "./admission.ts";
import { checkProgramLimits, computeToolTimeoutMs } from "./program_limits.ts";
import { DEFAULT_ADMISSION_SETTINGS } from "./settings.ts";

const SETTINGS = DEFAULT_ADMISSION_SETTINGS;

function buildLoad(queued: number): TargetLoad {
  return {
    targetId: "t",
    running: 20,
    queued,
    limit: 20,
    queuedPromptTokens: 0,
    relativeSpeed: 1,
    slotMs: 2_000,
    queuedBy: [{ partner: "zincir", queued, short: queued }],
  };
}

const OVERLOADED_REQUEST = {
  partner: "zincir",
  programClass: "short",
  loads: [buildLoad(60)],
} as const;

function checkRetryAfterMs(
  programClass: "short" | "background",
  queued: number,
): number | undefined {
  const loads = [buildLoad(queued)];
  const request = { partner: "zincir", programClass, loads } as const;
  const result = new Admission(SETTINGS, 1).check(request, 0);
  return result.isErr() ? result.error.retryAfterMs : undefined;
}

describe("admission", () => {
  it("sheds background work before short work", () => {
    expect(checkRetryAfterMs("background", 4)).to.equal(undefined);
    expect(checkRetryAfterMs("background", 8)).to.be.a("number");
    expect(checkRetryAfterMs("short", 8)).to.equal(undefined);
    expect(checkRetryAfterMs("short", 20)).to.be.a("number");
  });

  it("spreads retries at a share of the admission rate", () => {
    const { crest } = SETTINGS;
    const settings = { ...SETTINGS, crest: { ...crest, returnShare: 0.3 } };
    const admission = new Admission(settings, 1);
    const idle = { ...OVERLOADED_REQUEST, loads: [buildLoad(0)] };
    for (let atMs = 0; atMs < 20_000; atMs += 100) admission.check(idle, atMs);
    const retryTimes = Array.from({ length: 60 }, () => {
      const result = admission.check(OVERLOADED_REQUEST, 20_000);
      return result.isErr() ? Number(result.error.retryAfterMs) : 0;
    });
    const first = Math.min(...retryTimes);
    const last = Math.max(...retryTimes);
    expect(first).to.be.at.least(800);
    expect(last - first).to.be.within(15_000, 25_000);
    const early = retryTimes.filter((each) => each < 6_000).length;
    expect(early).to.be.below(25);
  });

  it("admits a partner without waiting calls during another partner's burst", () => {
    const loads = [buildLoad(500)];
    const request = {
      partner: "okonkwo",
      programClass: "background",
      loads,
    } as const;
    expect(new Admission(SETTINGS, 1).check(request, 0).isOk())
      .to.equal(true);
  });

  it("refuses programs that can't meet their deadlines", () => {
    const loads = [buildLoad(8)];
    const admission = new Admission(SETTINGS, 1);
    const request = { ...OVERLOADED_REQUEST, loads };
    expect(admission.check({ ...request, leftMs: 500 }, 0).isErr())
      .to.equal(true);
    expect(admission.check({ ...request, leftMs: 5_000 }, 0).isOk())
      .to.equal(true);
  });

  it("admits all programs under the queue policy", () => {
    const settings = { ...SETTINGS, crest: { kind: "queue" } } as const;
    expect(new Admission(settings, 1).check(OVERLOADED_REQUEST, 0).isOk()).to
      .equal(true);
  });
});

describe("program limits", () => {
  it("stop a looping program by its turns, cost or age", () => {
    const limits = { mostTurns: 5, mostCostMicros: 100, mostAgeMs: 1_000 };
    const withinLimits = { turns: 4, costMicros: 99, ageMs: 999 };
    expect(checkProgramLimits(withinLimits, limits).isOk()).to.equal(true);
    const over = [{ turns: 5 }, { costMicros: 100 }, { ageMs: 1_000 }];
    const names = over.map((each) => {
      const result = checkProgramLimits({ ...withinLimits, ...each }, limits);
      return result.isErr() ? result.error.name : "";
    });
    expect(names).to.deep.equal([
      "TurnLimitReached",
      "BudgetExhausted",
      "DeadlinePassed",
    ]);
  });

  it("bound a tool's duration by a multiple of its usual duration", () => {
    const { toolTimeouts } = SETTINGS;
    expect(computeToolTimeoutMs(undefined, toolTimeouts)).to.equal(120_000);
    expect(computeToolTimeoutMs(10, toolTimeouts)).to.equal(2_000);
    expect(computeToolTimeoutMs(1_000, toolTimeouts)).to.equal(8_000);
  });
});

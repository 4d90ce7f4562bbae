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

const FULL = {
  partner: "zincir",
  programClass: "short",
  loads: [buildLoad(60)],
} as const;

function check(
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
    expect(check("background", 4)).to.equal(undefined);
    expect(check("background", 8)).to.be.a("number");
    expect(check("short", 8)).to.equal(undefined);
    expect(check("short", 20)).to.be.a("number");
  });

  it("spreads returns at a share of the rate of admissions", () => {
    const { crest } = SETTINGS;
    const settings = { ...SETTINGS, crest: { ...crest, returnShare: 0.3 } };
    const admission = new Admission(settings, 1);
    const calm = { ...FULL, loads: [buildLoad(0)] };
    for (let atMs = 0; atMs < 20_000; atMs += 100) admission.check(calm, atMs);
    const times = Array.from({ length: 60 }, () => {
      const result = admission.check(FULL, 20_000);
      return result.isErr() ? Number(result.error.retryAfterMs) : 0;
    });
    const first = Math.min(...times);
    const last = Math.max(...times);
    expect(first).to.be.at.least(800);
    expect(last - first).to.be.within(15_000, 25_000);
    const early = times.filter((each) => each < 6_000).length;
    expect(early).to.be.below(25);
  });

  it("admits a partner whose own calls don't wait during another's flood", () => {
    const loads = [buildLoad(500)];
    const request = {
      partner: "okonkwo",
      programClass: "background",
      loads,
    } as const;
    expect(new Admission(SETTINGS, 1).check(request, 0).isOk())
      .to.equal(true);
  });

  it("refuses what can't meet its deadline", () => {
    const loads = [buildLoad(8)];
    const admission = new Admission(SETTINGS, 1);
    const request = { ...FULL, loads };
    expect(admission.check({ ...request, leftMs: 500 }, 0).isErr())
      .to.equal(true);
    expect(admission.check({ ...request, leftMs: 5_000 }, 0).isOk())
      .to.equal(true);
  });

  it("admits everything where the policy is to queue", () => {
    const settings = { ...SETTINGS, crest: { kind: "queue" } } as const;
    expect(new Admission(settings, 1).check(FULL, 0).isOk()).to.equal(true);
  });
});

describe("program limits", () => {
  it("stop a program that loops by turns, cost or time", () => {
    const limits = { mostTurns: 5, mostCostMicros: 100, mostAgeMs: 1_000 };
    const fine = { turns: 4, costMicros: 99, ageMs: 999 };
    expect(checkProgramLimits(fine, limits).isOk()).to.equal(true);
    const over = [{ turns: 5 }, { costMicros: 100 }, { ageMs: 1_000 }];
    const names = over.map((each) => {
      const result = checkProgramLimits({ ...fine, ...each }, limits);
      return result.isErr() ? result.error.name : "";
    });
    expect(names).to.deep.equal([
      "TurnLimitReached",
      "BudgetExhausted",
      "DeadlinePassed",
    ]);
  });

  it("bound the time of a tool by what it usually takes", () => {
    const { toolTimeouts } = SETTINGS;
    expect(computeToolTimeoutMs(undefined, toolTimeouts)).to.equal(120_000);
    expect(computeToolTimeoutMs(10, toolTimeouts)).to.equal(2_000);
    expect(computeToolTimeoutMs(1_000, toolTimeouts)).to.equal(8_000);
  });
});

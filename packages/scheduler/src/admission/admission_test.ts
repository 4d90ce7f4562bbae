import { expect } from "chai";
import type { TargetLoad } from "@camphorlock/types";
import { RandomSource } from "../random/mod.ts";
import { checkAdmission } from "./admission.ts";
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
  };
}

function check(
  programClass: "short" | "background",
  queued: number,
  seed = 1,
): number | undefined {
  const loads = [buildLoad(queued)];
  const random = new RandomSource(seed);
  const request = { programClass, loads };
  const result = checkAdmission(request, { settings: SETTINGS, random });
  return result.isErr() ? result.error.retryAfterMs : undefined;
}

describe("checkAdmission", () => {
  it("sheds background work before short work", () => {
    expect(check("background", 0)).to.equal(undefined);
    expect(check("background", 20)).to.be.a("number");
    expect(check("short", 20)).to.equal(undefined);
    expect(check("short", 60)).to.be.a("number");
  });

  it("spreads the return over the time that the backlog needs", () => {
    const times = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) =>
      check("short", 60, seed)
    );
    expect(Math.min(...times.map(Number))).to.be.at.least(6_000);
    expect(Math.max(...times.map(Number))).to.be.at.most(15_000);
    expect(new Set(times).size).to.be.above(4);
  });

  it("refuses what can't meet its deadline", () => {
    const loads = [buildLoad(20)];
    const random = new RandomSource(1);
    const request = { programClass: "short", loads, leftMs: 1_000 } as const;
    expect(checkAdmission(request, { settings: SETTINGS, random }).isErr())
      .to.equal(true);
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

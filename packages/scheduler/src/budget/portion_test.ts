/**
 * Tests of shared budgets' portions and of program budgets.
 */
import type { PlatformAnswer, PlatformRequest } from "@camphorlock/types";
import { expect } from "chai";
import {
  applyBudgetChange,
  type BudgetObject,
  decodeBudget,
  encodeBudget,
  findHolder,
} from "./budget_object.ts";
import { Portion } from "./portion.ts";
import type { DrawContext } from "./portion_size.ts";
import {
  computeAffordableTokens,
  computeWorstCase,
  ProgramBudget,
} from "./program_budget.ts";
import { EMPTY_CONFIGURATION } from "../configuration/value.ts";

const OWNER = { vmId: "vm-1", incarnation: 2 };
const CONTEXT: DrawContext = {
  owner: OWNER,
  limitMicros: 1_000,
  horizonMs: 30_000,
  present: new Set(["vm-1", "vm-2"]),
};
const LOST: PlatformAnswer = { kind: "failed", reason: "lost" };

/** One portion over one stored budget that the test controls. */
class Desk {
  readonly portion = new Portion("team/designers", "vm-1");
  budget: BudgetObject = { spentMicros: 0, holders: [] };
  version = 0;
  nowMs = 0;
  /** Called with each write, in place of storing it. */
  onWrite: ((budget: BudgetObject) => PlatformAnswer) | undefined;

  run(): void {
    this.nowMs += 1_000;
    let request = this.portion.handleTick(this.nowMs);
    while (request !== undefined) {
      const answer = this.#answer(request);
      const { nowMs } = this;
      request = this.portion.handleAnswer(answer, { context: CONTEXT, nowMs });
    }
  }

  store(budget: BudgetObject): void {
    this.budget = budget;
    this.version += 1;
  }

  #answer(request: PlatformRequest): PlatformAnswer {
    if (request.kind === "get") {
      const { key } = request;
      if (this.version === 0) return { kind: "absent", key };
      const value = encodeBudget(this.budget);
      const { version } = this;
      return { kind: "found", object: { key, value, version } };
    }
    if (request.kind !== "put") return LOST;
    const { key, condition } = request;
    const expected = condition.kind === "version" ? condition.version : 0;
    if (expected !== this.version) {
      return { kind: "conflict", key, version: this.version };
    }
    const budget = decodeBudget(request.value)._unsafeUnwrap();
    if (this.onWrite !== undefined) return this.onWrite(budget);
    this.store(budget);
    return { kind: "stored", key, version: this.version };
  }
}

describe("Portion", () => {
  it("credits a draw once when its answer is lost", () => {
    const desk = new Desk();
    desk.onWrite = (budget) => {
      desk.store(budget);
      desk.onWrite = undefined;
      return LOST;
    };
    expect(desk.portion.reserve(10, desk.nowMs)).to.equal(false);
    desk.run();
    desk.run();
    const held = findHolder(desk.budget, OWNER)?.heldMicros;
    expect(desk.portion.heldMicros).to.equal(held);
    expect(desk.portion.restMicros).to.equal(200);
  });

  it("doesn't spend what is on its way back", () => {
    const desk = new Desk();
    desk.portion.reserve(10, 0);
    desk.run();
    desk.onWrite = () => LOST;
    desk.portion.release();
    desk.run();
    expect(desk.portion.reserve(1, desk.nowMs)).to.equal(false);
  });

  it("gives up what it can't know to have returned", () => {
    const desk = new Desk();
    desk.portion.reserve(10, 0);
    desk.run();
    desk.onWrite = () => {
      desk.store({ spentMicros: 40, holders: [] });
      desk.onWrite = undefined;
      return LOST;
    };
    desk.portion.release();
    desk.run();
    desk.portion.reserve(10, desk.nowMs);
    desk.run();
    desk.run();
    const held = findHolder(desk.budget, OWNER)?.heldMicros;
    expect(desk.portion.heldMicros).to.equal(held);
  });

  it("gives up what it can't return", () => {
    const desk = new Desk();
    desk.portion.reserve(10, 0);
    desk.run();
    desk.store({ spentMicros: 40, holders: [] });
    desk.portion.release();
    desk.run();
    expect(desk.portion.restMicros).to.equal(0);
  });

  it("takes small portions where little is left", () => {
    const desk = new Desk();
    desk.store({ spentMicros: 900, holders: [] });
    desk.portion.reserve(10, 0);
    desk.run();
    expect(desk.portion.heldMicros).to.equal(20);
    desk.portion.reserve(2_000, desk.nowMs);
    desk.run();
    expect(desk.portion.isExhausted(desk.nowMs)).to.equal(true);
  });
});

describe("applyBudgetChange", () => {
  it("never hands out more than the limit", () => {
    const budget = { spentMicros: 600, holders: [] };
    const change = { ...OWNER, changeNumber: 1, micros: 401 };
    expect(applyBudgetChange(budget, change, 1_000).isErr()).to.equal(true);
    const fits = { ...change, micros: 400 };
    expect(applyBudgetChange(budget, fits, 1_000).isOk()).to.equal(true);
  });

  it("counts an earlier process's portion as spent, a later one's as its", () => {
    const earlier = {
      ...OWNER,
      incarnation: 1,
      heldMicros: 5,
      changeNumber: 3,
    };
    const later = { ...earlier, incarnation: 3 };
    const change = { ...OWNER, changeNumber: 1, micros: 10 };
    const budget = { spentMicros: 0, holders: [earlier] };
    const after = applyBudgetChange(budget, change, 1_000)._unsafeUnwrap();
    expect(after.spentMicros).to.equal(5);
    expect(after.holders).to.have.length(1);
    const taken = { spentMicros: 0, holders: [later] };
    expect(applyBudgetChange(taken, change, 1_000).isErr()).to.equal(true);
  });
});

describe("ProgramBudget", () => {
  const value = {
    ...EMPTY_CONFIGURATION,
    models: [{
      model: "quotes",
      promptMicros: 1_000,
      cachedMicros: 100,
      completionMicros: 3_000,
    }],
  };

  it("never spends beyond its limit", () => {
    const budget = new ProgramBudget(100);
    expect(budget.reserve("a", 60).isOk()).to.equal(true);
    expect(budget.reserve("a", 60).isOk()).to.equal(true);
    expect(budget.reserve("b", 41).isErr()).to.equal(true);
    expect(budget.settle("a", 75)).to.equal(60);
    expect(budget.settle("a", 75)).to.equal(0);
    expect(budget.restMicros).to.equal(40);
  });

  it("bounds a call's cost by the bytes of its prompt", () => {
    const call = {
      kind: "model" as const,
      model: "quotes",
      messages: [{ role: "user" as const, content: "fiyat ş" }],
      maxTokens: 10,
    };
    expect(computeWorstCase(value, call)).to.equal(16 + 8 + 8 + 30);
    expect(computeAffordableTokens(value, {
      model: "quotes",
      promptTokens: 20,
      reservedMicros: 62,
    })).to.equal(14);
  });
});

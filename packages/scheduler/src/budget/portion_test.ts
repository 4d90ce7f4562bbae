/**
 * Tests of the portions of shared budgets, and of program budgets.
 */
import type { PlatformRequest, PlatformResponse } from "@camphorlock/types";
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
const LOST: PlatformResponse = { kind: "failed", reason: "lost" };

/** One portion and the stored budget that it draws from. */
class Fixture {
  readonly portion = new Portion("team/designers", "vm-1");
  budget: BudgetObject = { spentMicros: 0, holders: [] };
  version = 0;
  nowMs = 0;
  /** Called with each write, instead of storing it. */
  onWrite: ((budget: BudgetObject) => PlatformResponse) | undefined;

  run(): void {
    this.nowMs += 1_000;
    let request = this.portion.handleTick(this.nowMs);
    while (request !== undefined) {
      const response = this.#respond(request);
      const { nowMs } = this;
      request = this.portion.handleResponse(response, {
        context: CONTEXT,
        nowMs,
      });
    }
  }

  store(budget: BudgetObject): void {
    this.budget = budget;
    this.version += 1;
  }

  #respond(request: PlatformRequest): PlatformResponse {
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
  it("credits a draw once when its response is lost", () => {
    const fixture = new Fixture();
    fixture.onWrite = (budget) => {
      fixture.store(budget);
      fixture.onWrite = undefined;
      return LOST;
    };
    expect(fixture.portion.reserve(10, fixture.nowMs)).to.equal(false);
    fixture.run();
    fixture.run();
    const held = findHolder(fixture.budget, OWNER)?.heldMicros;
    expect(fixture.portion.heldMicros).to.equal(held);
    expect(fixture.portion.availableMicros).to.equal(200);
  });

  it("doesn't spend an amount that is being returned", () => {
    const fixture = new Fixture();
    fixture.portion.reserve(10, 0);
    fixture.run();
    fixture.onWrite = () => LOST;
    fixture.portion.release();
    fixture.run();
    expect(fixture.portion.reserve(1, fixture.nowMs)).to.equal(false);
  });

  it("counts a return as stored when its entry has been removed", () => {
    const fixture = new Fixture();
    fixture.portion.reserve(10, 0);
    fixture.run();
    fixture.onWrite = () => {
      fixture.store({ spentMicros: 40, holders: [] });
      fixture.onWrite = undefined;
      return LOST;
    };
    fixture.portion.release();
    fixture.run();
    fixture.portion.reserve(10, fixture.nowMs);
    fixture.run();
    fixture.run();
    const held = findHolder(fixture.budget, OWNER)?.heldMicros;
    expect(fixture.portion.heldMicros).to.equal(held);
  });

  it("counts an amount that can't be returned as spent", () => {
    const fixture = new Fixture();
    fixture.portion.reserve(10, 0);
    fixture.run();
    fixture.store({ spentMicros: 40, holders: [] });
    fixture.portion.release();
    fixture.run();
    expect(fixture.portion.availableMicros).to.equal(0);
  });

  it("draws small portions when little is left", () => {
    const fixture = new Fixture();
    fixture.store({ spentMicros: 900, holders: [] });
    fixture.portion.reserve(10, 0);
    fixture.run();
    expect(fixture.portion.heldMicros).to.equal(20);
    fixture.portion.reserve(2_000, fixture.nowMs);
    fixture.run();
    expect(fixture.portion.isExhausted(fixture.nowMs)).to.equal(true);
  });
});

describe("applyBudgetChange", () => {
  it("never grants more than the limit", () => {
    const budget = { spentMicros: 600, holders: [] };
    const change = { ...OWNER, changeNumber: 1, micros: 401 };
    expect(applyBudgetChange(budget, change, 1_000).isErr()).to.equal(true);
    const fits = { ...change, micros: 400 };
    expect(applyBudgetChange(budget, fits, 1_000).isOk()).to.equal(true);
  });

  it("counts earlier processes' draws as spent, fails after later ones", () => {
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
    const newer = { spentMicros: 0, holders: [later] };
    expect(applyBudgetChange(newer, change, 1_000).isErr()).to.equal(true);
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
    expect(budget.availableMicros).to.equal(40);
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

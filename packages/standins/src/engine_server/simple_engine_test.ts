import { expect } from "chai";
import type { GenerateRequest } from "../engine/engine_types.ts";
import { SimpleEngine } from "./simple_engine.ts";
import { SlowPeriods } from "./slow_periods.ts";

const REQUEST: GenerateRequest = {
  attemptId: "a1",
  programId: "p1",
  model: "m",
  promptTokens: 10,
  parts: [],
  storeKey: "k",
  completionTokens: 3,
  producedTokens: 0,
};

describe("simple engine", () => {
  it("produces tokens at its set rate, slower at a lower speed", () => {
    const engine = new SimpleEngine({
      tokenMs: 10,
      firstTokenMs: 20,
      checksFencing: true,
    });
    engine.handle({ kind: "generate", request: REQUEST }, 0);
    const times = engine.handle({ kind: "advance" }, 25).map((each) =>
      each.atMs
    );
    expect(times).to.deep.equal([20]);
    engine.handle({ kind: "set_speed", speed: 0.5 }, 25);
    const rest = engine.handle({ kind: "advance" }, 100);
    expect(rest.map((each) => `${each.kind} ${each.atMs}`)).to.deep.equal([
      "tokens 30",
      "tokens 50",
      "cache_event 50",
      "completed 50",
    ]);
  });

  it("accepts an old fencing token when checks are off", () => {
    const order = (fence: number): string => {
      const input = { kind: "load_model", model: "m", fence } as const;
      return engine.handle({ kind: "order", order: input }, 0)
        .map((each) => each.kind).join();
    };
    const engine = new SimpleEngine({
      tokenMs: 1,
      firstTokenMs: 1,
      checksFencing: false,
    });
    expect([order(2), order(1)]).to.deep.equal(["order_done", "order_done"]);
  });
});

describe("slow periods", () => {
  it("are the same for the same seed", () => {
    const take = (seed: number): unknown => {
      const options = { maxGapMs: 900, maxDurationMs: 90, speed: 0.2 };
      const periods = new SlowPeriods({ seed, ...options });
      return [periods.take(), periods.take(), periods.take()];
    };
    expect(take(4)).to.deep.equal(take(4));
    expect(take(4)).to.not.deep.equal(take(5));
  });
});

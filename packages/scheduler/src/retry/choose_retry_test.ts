import { expect } from "chai";
import { RandomSource } from "../random/mod.ts";
import { chooseHedge } from "./choose_hedge.ts";
import {
  type AttemptResult,
  chooseRetry,
  type RetryCall,
  type RetryMeans,
} from "./choose_retry.ts";
import { RetryBudget } from "./retry_budget.ts";
import { DEFAULT_RETRY_SETTINGS } from "./settings.ts";

function buildMeans(): RetryMeans {
  const settings = DEFAULT_RETRY_SETTINGS;
  const budget = new RetryBudget(settings.budget);
  return { settings, budget, random: new RandomSource(1) };
}

const ONCE: RetryCall = { idempotent: false, attempts: 1, leftMs: 60_000 };
const AGAIN: RetryCall = { ...ONCE, idempotent: true };

describe("chooseRetry", () => {
  const notRun: AttemptResult[] = [
    { kind: "slot_refused", retryAfterMs: 300 },
    { kind: "not_sent" },
    { kind: "rejected", notRun: true },
  ];

  it("retries what can't have run, even when it may not be repeated", () => {
    for (const result of notRun) {
      expect(chooseRetry(result, ONCE, buildMeans()).kind).to.equal("retry");
    }
  });

  it("never repeats a non-idempotent call that may have run", () => {
    for (const kind of ["broken", "stalled"] as const) {
      expect(chooseRetry({ kind }, ONCE, buildMeans()))
        .to.include({ kind: "give_up", outcome: "unknown" });
      expect(chooseRetry({ kind }, AGAIN, buildMeans()).kind)
        .to.equal("retry");
    }
  });

  it("says not run only when no attempt can have run", () => {
    const last = { ...AGAIN, attempts: 4 };
    for (const result of notRun) {
      expect(chooseRetry(result, last, buildMeans()))
        .to.include({ kind: "give_up", outcome: "not_run" });
    }
    const broken = { kind: "broken" } as const;
    expect(chooseRetry(broken, last, buildMeans()))
      .to.include({ kind: "give_up", outcome: "failed" });
  });

  it("calls what a target rejected without saying so failed, not unrun", () => {
    const result = { kind: "rejected", notRun: false } as const;
    expect(chooseRetry(result, AGAIN, buildMeans()))
      .to.include({ kind: "give_up", outcome: "failed" });
  });

  it("keeps retries to a fraction of the fresh attempts", () => {
    const means = buildMeans();
    let retries = 0;
    for (let call = 0; call < 1_000; call += 1) {
      means.budget.recordFresh();
      const choice = chooseRetry({ kind: "not_sent" }, ONCE, means);
      if (choice.kind === "retry") retries += 1;
    }
    expect(retries).to.be.within(100, 121);
  });

  it("waits at least as long as the refusal asks for", () => {
    const result = { kind: "slot_refused", retryAfterMs: 4_000 } as const;
    expect(chooseRetry(result, ONCE, buildMeans()))
      .to.include({ kind: "retry", afterMs: 4_000 });
    const late = { ...ONCE, leftMs: 3_000 };
    expect(chooseRetry(result, late, buildMeans()))
      .to.include({ kind: "give_up", reason: "deadline" });
  });
});

describe("chooseHedge", () => {
  const late = {
    programClass: "short",
    idempotent: true,
    waitedMs: 1_000,
    usualMs: 200,
    poolLoad: 0.3,
  } as const;
  const { hedge } = DEFAULT_RETRY_SETTINGS;

  it("hedges late short idempotent calls under low load only", () => {
    expect(chooseHedge(late, hedge).kind).to.equal("hedge");
    const others = [
      { idempotent: false },
      { programClass: "standard" as const },
      { poolLoad: 0.9 },
      { waitedMs: 300 },
    ];
    for (const other of others) {
      expect(chooseHedge({ ...late, ...other }, hedge).kind).to.equal("wait");
    }
    expect(chooseHedge(late, { kind: "none" }).kind).to.equal("wait");
  });
});

import { expect } from "chai";
import { RandomSource } from "../random/mod.ts";
import { chooseHedge } from "./choose_hedge.ts";
import {
  type AttemptFailure,
  chooseRetry,
  type RetryCall,
  type RetryContext,
} from "./choose_retry.ts";
import { RetryBudget } from "./retry_budget.ts";
import { DEFAULT_RETRY_SETTINGS } from "./settings.ts";

function buildContext(): RetryContext {
  const settings = DEFAULT_RETRY_SETTINGS;
  const budget = new RetryBudget(settings.budget);
  return { settings, budget, random: new RandomSource(1) };
}

const NON_IDEMPOTENT_CALL: RetryCall = {
  idempotent: false,
  attempts: 1,
  leftMs: 60_000,
};
const IDEMPOTENT_CALL: RetryCall = { ...NON_IDEMPOTENT_CALL, idempotent: true };

describe("chooseRetry", () => {
  const notRun: AttemptFailure[] = [
    { kind: "slot_refused", retryAfterMs: 300 },
    { kind: "not_sent" },
    { kind: "rejected", notRun: true },
  ];

  it("retries attempts that can't have run, even of non-idempotent calls", () => {
    for (const result of notRun) {
      expect(chooseRetry(result, NON_IDEMPOTENT_CALL, buildContext()).kind).to
        .equal("retry");
    }
  });

  it("never repeats a non-idempotent call that may have run", () => {
    for (const kind of ["broken", "stalled"] as const) {
      expect(chooseRetry({ kind }, NON_IDEMPOTENT_CALL, buildContext()))
        .to.include({ kind: "give_up", outcome: "unknown" });
      expect(chooseRetry({ kind }, IDEMPOTENT_CALL, buildContext()).kind)
        .to.equal("retry");
    }
  });

  it("reports not_run only when the attempt can't have run", () => {
    const last = { ...IDEMPOTENT_CALL, attempts: 4 };
    for (const result of notRun) {
      expect(chooseRetry(result, last, buildContext()))
        .to.include({ kind: "give_up", outcome: "not_run" });
    }
    const broken = { kind: "broken" } as const;
    expect(chooseRetry(broken, last, buildContext()))
      .to.include({ kind: "give_up", outcome: "failed" });
  });

  it("reports a rejection without proof of not running as failed", () => {
    const result = { kind: "rejected", notRun: false } as const;
    expect(chooseRetry(result, IDEMPOTENT_CALL, buildContext()))
      .to.include({ kind: "give_up", outcome: "failed" });
  });

  it("limits retries to a fraction of first attempts", () => {
    const context = buildContext();
    let retries = 0;
    for (let call = 0; call < 1_000; call += 1) {
      context.budget.recordFirstAttempt();
      const choice = chooseRetry(
        { kind: "not_sent" },
        NON_IDEMPOTENT_CALL,
        context,
      );
      if (choice.kind === "retry") retries += 1;
    }
    expect(retries).to.be.within(100, 121);
  });

  it("waits at least the retry delay of the refusal", () => {
    const result = { kind: "slot_refused", retryAfterMs: 4_000 } as const;
    expect(chooseRetry(result, NON_IDEMPOTENT_CALL, buildContext()))
      .to.include({ kind: "retry", afterMs: 4_000 });
    const late = { ...NON_IDEMPOTENT_CALL, leftMs: 3_000 };
    expect(chooseRetry(result, late, buildContext()))
      .to.include({ kind: "give_up", reason: "deadline" });
  });
});

describe("chooseHedge", () => {
  const late = {
    programClass: "short",
    idempotent: true,
    waitedMs: 1_000,
    usualFirstTokenMs: 200,
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

import { expect } from "chai";
import fc from "fast-check";
import { TokenAccounts } from "./token_accounts.ts";
import type { AccountRecord, TurnRequest } from "../model/token_account.ts";

const TURN_TOKENS = 560;

function buildTurn(turnId: string, budgetTokens: number): TurnRequest {
  return { programId: "p", turnId, budgetTokens, turnTokens: TURN_TOKENS };
}

describe("token accounts", () => {
  it("admit turns until the budget doesn't hold one at its most", () => {
    const accounts = new TokenAccounts();
    const kinds = ["a", "b", "c"].map((id) => {
      const turn = buildTurn(id, 1_400);
      const decision = accounts.open(turn, 0);
      if (decision.kind !== "needs_record") return decision.kind;
      accounts.addRecord("p", {
        allowedTokens: decision.allowedTokens,
        isSpent: false,
        writtenBy: "home",
      });
      return accounts.open(turn, 0).kind;
    });
    expect(kinds).to.deep.equal(["admitted", "admitted", "over_budget"]);
  });

  it("give back what a turn didn't use", () => {
    const accounts = new TokenAccounts();
    accounts.open(buildTurn("a", 1_120), 0);
    accounts.close("p", "a", 35);
    accounts.addRecord("p", {
      allowedTokens: 1_120,
      isSpent: false,
      writtenBy: "home",
    });
    expect(accounts.open(buildTurn("b", 1_120), 0).kind).to.equal("admitted");
  });

  it("ask for a record before most of a budget is passed on", () => {
    const accounts = new TokenAccounts();
    const first = accounts.open(buildTurn("a", 2_800), 0);
    accounts.close("p", "a", 560);
    const second = accounts.open(buildTurn("b", 2_800), 0);
    accounts.close("p", "b", 560);
    accounts.open(buildTurn("c", 2_800), 0);
    accounts.close("p", "c", 35);
    const fourth = accounts.open(buildTurn("d", 2_800), 0);
    expect(first.kind).to.equal("admitted");
    expect(second.kind).to.equal("admitted");
    expect(fourth).to.deep.equal({
      kind: "needs_record",
      allowedTokens: 2_800,
    });
  });

  it("merge what two homes saw, whatever the order", () => {
    const [left, right] = [new TokenAccounts(), new TokenAccounts()];
    left.confirm(buildTurn("a", 2_000), 0);
    right.confirm(buildTurn("a", 2_000), 0);
    right.close("p", "a", 70);
    right.confirm(buildTurn("b", 2_000), 0);
    const [ofLeft, ofRight] = [left.find("p"), right.find("p")];
    if (ofLeft === undefined || ofRight === undefined) throw new Error("lost");
    left.merge(ofRight, 0);
    right.merge(ofLeft, 0);
    expect(left.find("p")).to.deep.equal(right.find("p"));
  });

  it("take an unknown program for partly spent after a loss", () => {
    const accounts = new TokenAccounts();
    accounts.setLoss(1_000);
    const kinds = ["a", "b", "c", "d"].map((id) => {
      const turn = buildTurn(id, 2_800);
      const decision = accounts.open(turn, 0);
      if (decision.kind !== "needs_record") return decision.kind;
      accounts.addRecord("p", {
        allowedTokens: decision.allowedTokens,
        isSpent: false,
        writtenBy: "home",
      });
      return accounts.open(turn, 0).kind;
    });
    expect(kinds)
      .to.deep.equal(["admitted", "admitted", "admitted", "unknown"]);
  });

  it("leave room for a new program's turns after a loss, however small", () => {
    for (const budgetTokens of [900, 1_120, 1_680]) {
      const accounts = new TokenAccounts();
      accounts.setLoss(1_000);
      expect(accounts.open(buildTurn("a", budgetTokens), 0).kind)
        .to.equal("needs_record");
      accounts.addRecord("p", {
        allowedTokens: budgetTokens,
        isSpent: false,
        writtenBy: "home",
      });
      expect(accounts.open(buildTurn("a", budgetTokens), 0).kind)
        .to.equal("admitted");
      accounts.close("p", "a", 140);
      expect(accounts.open(buildTurn("b", budgetTokens), 0).kind)
        .to.equal("admitted");
    }
  });

  it("refuse a stopped program that comes back after a loss", () => {
    const accounts = new TokenAccounts();
    accounts.setLoss(1_000);
    expect(accounts.open(buildTurn("a", 1_680), 0).kind)
      .to.equal("needs_record");
    accounts.addFoundRecord("p", {
      allowedTokens: 1_680,
      isSpent: true,
      writtenBy: "home",
    });
    expect(accounts.open(buildTurn("a", 1_680), 0).kind)
      .to.equal("over_budget");
  });

  it("don't doubt programs that are met long after a loss", () => {
    const accounts = new TokenAccounts();
    accounts.setLoss(1_000, 0);
    expect(accounts.open(buildTurn("a", 5_600), 2_000).kind)
      .to.equal("admitted");
    expect(accounts.open(buildTurn("b", 5_600), 2_010).kind)
      .to.equal("admitted");
    expect(accounts.find("p")?.isAssumed).to.equal(false);
  });

  it("keep what a record tells of a program when a loss is noticed late", () => {
    const accounts = new TokenAccounts();
    accounts.setLoss(1_000, -500);
    accounts.open(buildTurn("a", 1_120), 0);
    accounts.addFoundRecord("p", {
      allowedTokens: 1_120,
      isSpent: true,
      writtenBy: "home",
    });
    accounts.setLoss(1_100, -400);
    expect(accounts.open(buildTurn("a", 1_120), 10).kind)
      .to.equal("over_budget");
  });

  it("count a record once when the home that wrote it told of its turns", () => {
    const [writer, other] = [new TokenAccounts(), new TokenAccounts()];
    for (const accounts of [writer, other]) accounts.setLoss(1_000);
    const record = { allowedTokens: 3_920, isSpent: false, writtenBy: "w" };
    writer.open(buildTurn("a", 5_600), 0);
    writer.addRecord("p", record);
    expect(writer.open(buildTurn("a", 5_600), 0).kind).to.equal("admitted");
    writer.close("p", "a", 140);
    const told = writer.find("p");
    if (told === undefined) throw new Error("lost");
    other.merge(told, 0);
    other.addFoundRecord("p", record);
    expect(other.find("p")?.earlierTokens).to.equal(2_240);
    // One that wasn't told takes all that the record allows for spent.
    const untold = new TokenAccounts();
    untold.setLoss(1_000);
    untold.open(buildTurn("b", 5_600), 0);
    untold.addFoundRecord("p", record);
    expect(untold.find("p")?.earlierTokens).to.equal(3_920);
  });

  it("doubt programs met shortly before a loss, but for those vouched for", () => {
    const accounts = new TokenAccounts();
    accounts.open(buildTurn("a", 5_600), 900);
    const vouched = new TokenAccounts();
    vouched.open({ ...buildTurn("b", 5_600), programId: "q" }, 0);
    const known = vouched.find("q");
    if (known === undefined) throw new Error("lost");
    accounts.merge(known, 900);
    accounts.setLoss(2_000, 500);
    expect(accounts.open(buildTurn("c", 5_600), 1_000).kind)
      .to.equal("needs_record");
    const other = { ...buildTurn("d", 5_600), programId: "q" };
    expect(accounts.open(other, 1_000).kind).to.equal("admitted");
  });

  it("never pass on more than the budget and a turn, over any losses", () => {
    const schedule = fc.record({
      budgetTokens: fc.integer({ min: TURN_TOKENS, max: 8_000 }),
      uses: fc.array(fc.integer({ min: 0, max: TURN_TOKENS }), {
        minLength: 1,
        maxLength: 60,
      }),
      lossesAt: fc.array(fc.nat(60), { minLength: 1, maxLength: 5 }),
    });
    fc.assert(
      fc.property(schedule, ({ budgetTokens, uses, lossesAt }) => {
        const store: { record?: AccountRecord; life: number } = { life: 0 };
        let life = 0;
        let accounts = new TokenAccounts();
        const save = (wanted: Omit<AccountRecord, "writtenBy">) => {
          if (store.record !== undefined && store.life !== life) {
            accounts.addFoundRecord("p", store.record);
          }
          const allowed = store.record?.allowedTokens ?? 0;
          if (allowed >= wanted.allowedTokens && !wanted.isSpent) return;
          const record = {
            allowedTokens: Math.max(allowed, wanted.allowedTokens),
            isSpent: wanted.isSpent,
            writtenBy: `life ${life}`,
          };
          store.record = record;
          store.life = life;
          accounts.addRecord("p", record);
        };
        let passed = 0;
        uses.forEach((use, index) => {
          if (lossesAt.includes(index)) {
            accounts = new TokenAccounts();
            accounts.setLoss(1);
            life += 1;
          }
          const turn = buildTurn(String(index), budgetTokens);
          let decision = accounts.open(turn, 0);
          for (
            let tries = 0;
            decision.kind === "needs_record" && tries < 2;
            tries += 1
          ) {
            save({
              allowedTokens: decision.allowedTokens,
              isSpent: false,
            });
            decision = accounts.open(turn, 0);
          }
          if (decision.kind === "over_budget") {
            save({
              allowedTokens: budgetTokens,
              isSpent: true,
            });
          }
          if (decision.kind !== "admitted") return;
          passed += use;
          accounts.close("p", turn.turnId, use);
        });
        expect(passed).to.be.at.most(budgetTokens + TURN_TOKENS);
      }),
      { numRuns: 2_000 },
    );
  });
});

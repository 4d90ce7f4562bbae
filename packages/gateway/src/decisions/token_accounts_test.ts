import { expect } from "chai";
import fc from "fast-check";
import type { TurnRequest } from "../model/token_account.ts";
import { TokenAccounts } from "./token_accounts.ts";

const TURN_TOKENS = 560;
const EVENT_TOKENS = 35;

function buildTurn(
  turnId: string,
  budgetTokens: number,
  change: Partial<TurnRequest> = {},
): TurnRequest {
  return {
    programId: "p",
    turnId,
    budgetTokens,
    turnTokens: TURN_TOKENS,
    eventTokens: EVENT_TOKENS,
    heldTokens: 0,
    isRunning: false,
    ...change,
  };
}

/** Builds accounts with an allowance of `tokens` of a budget. */
function buildAccounts(budgetTokens: number, tokens: number): TokenAccounts {
  const accounts = new TokenAccounts();
  accounts.open(buildTurn("first", budgetTokens), 0);
  accounts.addAllowance({ programId: "p", budgetTokens, tokens }, 0);
  return accounts;
}

describe("token accounts", () => {
  it("admit turns while the budget covers their maximum", () => {
    const accounts = buildAccounts(1_400, 1_400);
    const kinds = ["a", "b", "c"]
      .map((id) => accounts.open(buildTurn(id, 1_400), 0).kind);
    expect(kinds).to.deep.equal(["admitted", "admitted", "over_budget"]);
  });

  // After a loss of all gateways, each found the others again one by one and
  // moved the accounts of programs whose allowance was still being written.
  it("keep an allowance that arrives after the account was moved", () => {
    const accounts = new TokenAccounts();
    const turn = buildTurn("a", 900);
    expect(accounts.open(turn, 0).kind).to.equal("needs_allowance");
    accounts.removeMovable("p");
    accounts.addAllowance({ ...turn, tokens: 144 }, 0);
    expect(accounts.open(turn, 0))
      .to.deep.equal({ kind: "admitted", grantedTokens: 144 });
  });

  it("request an allowance before any tokens are granted", () => {
    expect(new TokenAccounts().open(buildTurn("a", 2_800), 0)).to.deep
      .equal({
        kind: "needs_allowance",
        missingTokens: TURN_TOKENS / 4,
        wantedTokens: TURN_TOKENS,
      });
  });

  it("grant the rest of an allowance, and more after another one", () => {
    const accounts = buildAccounts(2_800, 200);
    expect(accounts.open(buildTurn("a", 2_800), 0))
      .to.deep.equal({ kind: "admitted", grantedTokens: 200 });
    const rest = buildTurn("a", 2_800, {
      turnTokens: TURN_TOKENS - 200,
      heldTokens: 200,
      isRunning: true,
    });
    expect(accounts.open(rest, 0).kind).to.equal("needs_allowance");
    accounts.addAllowance({ ...rest, tokens: 1_000 }, 0);
    expect(accounts.open(rest, 0))
      .to.deep.equal({ kind: "admitted", grantedTokens: TURN_TOKENS });
  });

  it("return the same decision if the response was lost", () => {
    const accounts = buildAccounts(2_800, 1_000);
    const first = accounts.open(buildTurn("a", 2_800), 0);
    expect(accounts.open(buildTurn("a", 2_800), 0)).to.deep.equal(first);
    expect(accounts.find("p")?.grantedTokens).to.equal(TURN_TOKENS);
  });

  it("release the tokens that a turn didn't use", () => {
    const accounts = buildAccounts(1_120, 595);
    accounts.open(buildTurn("a", 1_120), 0);
    accounts.close("p", "a", 35);
    expect(accounts.open(buildTurn("b", 1_120), 0))
      .to.deep.equal({ kind: "admitted", grantedTokens: TURN_TOKENS });
  });

  it("reserve nothing for a turn abandoned before its decision", () => {
    const accounts = buildAccounts(2_800, 1_000);
    accounts.close("p", "a", 0);
    accounts.open(buildTurn("a", 2_800), 0);
    expect(accounts.find("p")?.grantedTokens).to.equal(0);
  });

  it("don't count allowances of other homes as spent", () => {
    const accounts = buildAccounts(1_120, 300);
    accounts.open(buildTurn("a", 1_120), 0);
    accounts.close("p", "a", 300);
    expect(accounts.open(buildTurn("b", 1_120), 0).kind)
      .to.equal("needs_allowance");
  });

  it("refuse a program that was stopped, except for a running turn", () => {
    const accounts = buildAccounts(2_800, 1_000);
    accounts.setSpent("p");
    expect(accounts.open(buildTurn("a", 2_800), 0).kind)
      .to.equal("over_budget");
    expect(accounts.open(buildTurn("b", 2_800, { isRunning: true }), 0).kind)
      .to.equal("admitted");
  });

  it("move an account except for the tokens granted to open turns", () => {
    const [from, to] = [buildAccounts(2_800, 1_400), new TokenAccounts()];
    from.open(buildTurn("a", 2_800), 0);
    from.open(buildTurn("b", 2_800), 0);
    from.close("p", "a", 70);
    const moved = from.removeMovable("p");
    if (moved === undefined) throw new Error("program p has no account");
    to.addMoved(moved, 0);
    expect(to.find("p"))
      .to.include({ allowedTokens: 770, passedTokens: 70, grantedTokens: 0 });
    expect(from.find("p"))
      .to.include({ allowedTokens: 560, passedTokens: 0, grantedTokens: 560 });
    from.close("p", "b", 35);
    expect(from.hasMoved("p")).to.equal(true);
    expect(from.removeMovable("p")).to.include({ allowedTokens: 525 });
    expect(from.find("p")).to.equal(undefined);
  });

  it("never grant more than the allowances, in any sequence of turns", () => {
    const step = fc.record({
      turn: fc.integer({ min: 0, max: 5 }),
      kind: fc.constantFrom("open", "extend", "close", "allow", "move"),
      tokens: fc.integer({ min: 0, max: 600 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const accounts = new TokenAccounts();
        const granted = new Map<string, number>();
        let allowed = 0;
        let forwarded = 0;
        for (const { turn, kind, tokens } of steps) {
          const turnId = `t${turn}`;
          const held = granted.get(turnId) ?? 0;
          if (kind === "allow" && accounts.find("p") !== undefined) {
            accounts.addAllowance(
              { programId: "p", budgetTokens: 5_000, tokens },
              0,
            );
            allowed += tokens;
          } else if (kind === "close" && granted.delete(turnId)) {
            forwarded += Math.min(held, tokens);
            accounts.close("p", turnId, Math.min(held, tokens));
          } else if (kind === "move") {
            const moved = accounts.removeMovable("p");
            if (moved !== undefined) accounts.addMoved(moved, 0);
          } else if (kind === "open" || kind === "extend") {
            const decision = accounts.open(
              buildTurn(turnId, 5_000, {
                heldTokens: held,
                isRunning: kind === "extend",
              }),
              0,
            );
            if (decision.kind !== "admitted") continue;
            granted.set(turnId, decision.grantedTokens);
          }
          const open = [...granted.values()].reduce(
            (sum, each) => sum + each,
            0,
          );
          expect(forwarded + open).to.be.at.most(allowed + forwarded);
          expect(forwarded).to.be.at.most(allowed);
        }
      }),
      { numRuns: 1_000 },
    );
  });
});

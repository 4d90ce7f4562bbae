/**
 * The token accounts of programs, as this gateway counts them.
 *
 * The load that this answers: programs that start turns without end. A turn is
 * admitted only if the budget holds it at its most beside what was passed on
 * and what the open turns may still pass on.
 */
import type { TokenBudget } from "../model/request_fields.ts";

/** What a turn may do. */
export type TurnAdmission = "admitted" | "over_budget";

interface Account {
  budgetTokens: number;
  /** Tokens passed on in all turns. */
  passedTokens: number;
  /** Tokens that open turns may still pass on. */
  openTokens: number;
  usedAtMs: number;
}

/** The accounts of all programs with turns at this gateway. */
export class TokenAccounts {
  readonly #accounts = new Map<string, Account>();

  /** Admits a turn and reserves its tokens. */
  open(budget: TokenBudget, nowMs: number): TurnAdmission {
    const account = this.#get(budget, nowMs);
    const { passedTokens, openTokens } = account;
    const wantedTokens = passedTokens + openTokens + budget.turnTokens;
    if (wantedTokens > budget.budgetTokens) return "over_budget";
    account.openTokens += budget.turnTokens;
    return "admitted";
  }

  /** Ends a turn that passed on some of its tokens. */
  close(budget: TokenBudget, passedTokens: number): void {
    const account = this.#accounts.get(budget.programId);
    if (account === undefined) return;
    account.openTokens -= budget.turnTokens;
    account.passedTokens += passedTokens;
  }

  #get(budget: TokenBudget, nowMs: number): Account {
    const known = this.#accounts.get(budget.programId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    const account: Account = {
      budgetTokens: budget.budgetTokens,
      passedTokens: 0,
      openTokens: 0,
      usedAtMs: nowMs,
    };
    this.#accounts.set(budget.programId, account);
    return account;
  }
}

/**
 * The token accounts of programs at one home gateway.
 *
 * A program may start turns without limit, through several gateways at once,
 * while gateways are partitioned, killed and restarted.
 *
 * A budget is divided among homes by allowances, each granted to exactly one
 * home: those of the first one by the holder of the program's shard, others by
 * conditional writes to the store. A home grants turns no more than its own
 * allowances. The tokens that all homes forward therefore stay within the
 * budget, however many homes decide at once. The allowances of a failed home
 * are lost.
 */
import type {
  MovedAccount,
  TurnDecision,
  TurnRequest,
} from "../model/token_account.ts";

/** Smallest share of a turn's tokens that is granted at a time. */
const MIN_GRANT_SHARE = 0.25;

interface Turn {
  readonly isOpen: boolean;
  /** Tokens granted while the turn is open, forwarded once it has ended. */
  readonly tokens: number;
  /** Maximum tokens that the turn forwards, as its caller declared. */
  readonly mostTokens: number;
}

interface Account {
  readonly budgetTokens: number;
  allowedTokens: number;
  /** Tokens that other homes forwarded before they moved the account here. */
  passedElsewhereTokens: number;
  /** Whether the holder of the shard has no more of the first allowance. */
  hasUsedFirst: boolean;
  isSpent: boolean;
  /** Whether the account has moved, except for its open turns. */
  hasMoved: boolean;
  readonly turns: Map<string, Turn>;
  usedAtMs: number;
}

/** A part of a program's budget that this home may grant. */
export interface GrantedAllowance {
  readonly programId: string;
  readonly budgetTokens: number;
  readonly tokens: number;
}

/** An account as log lines show it. */
export interface AccountView {
  readonly allowedTokens: number;
  /** Tokens of turns that have ended. */
  readonly passedTokens: number;
  /** Tokens granted to open turns. */
  readonly grantedTokens: number;
  readonly isSpent: boolean;
}

/** The accounts that one gateway holds. */
export class TokenAccounts {
  readonly #accounts = new Map<string, Account>();

  /** Decides on a turn and, if it's admitted, reserves the granted tokens. */
  open(turn: TurnRequest, nowMs: number): TurnDecision {
    const account = this.#get(turn.programId, turn.budgetTokens, nowMs);
    const existing = account.turns.get(turn.turnId);
    const grantedTokens = existing?.tokens ?? 0;
    // The response to an earlier request was lost or is late.
    if (existing !== undefined && !existing.isOpen) {
      return { kind: "admitted", grantedTokens };
    }
    if (grantedTokens > turn.heldTokens) {
      return { kind: "admitted", grantedTokens };
    }
    if (!turn.isRunning && isOverBudget(account, turn)) {
      return { kind: "over_budget" };
    }
    const { turnTokens, eventTokens } = turn;
    const minTokens = Math.min(
      turnTokens,
      Math.max(eventTokens, Math.ceil(turnTokens * MIN_GRANT_SHARE)),
    );
    const availableTokens = account.allowedTokens - sumTurnTokens(account);
    if (availableTokens < minTokens) {
      return {
        kind: "needs_allowance",
        missingTokens: minTokens - availableTokens,
        wantedTokens: turnTokens - availableTokens,
      };
    }
    if (!turn.isRunning) account.hasMoved = false;
    const tokens = grantedTokens + Math.min(availableTokens, turnTokens);
    account.turns.set(turn.turnId, {
      isOpen: true,
      tokens,
      mostTokens: grantedTokens + turnTokens,
    });
    return { kind: "admitted", grantedTokens: tokens };
  }

  /** Whether a program has had a turn here besides this one. */
  hasOtherTurns(programId: string, turnId: string): boolean {
    const turns = this.#accounts.get(programId)?.turns;
    if (turns === undefined) return false;
    return turns.size > (turns.has(turnId) ? 1 : 0);
  }

  /**
   * Ends a turn that forwarded some of its tokens. A turn that isn't open yet
   * is recorded as ended, since its caller has abandoned it.
   */
  close(programId: string, turnId: string, passedTokens: number): void {
    const account = this.#accounts.get(programId);
    if (account === undefined) return;
    const turn = account.turns.get(turnId);
    if (turn !== undefined && !turn.isOpen) return;
    account.turns.set(turnId, {
      isOpen: false,
      tokens: passedTokens,
      mostTokens: passedTokens,
    });
  }

  /** Whether nothing of a program's first allowance is left to request. */
  hasUsedFirstAllowance(programId: string): boolean {
    return this.#accounts.get(programId)?.hasUsedFirst ?? false;
  }

  /** Records that nothing of a program's first allowance is left. */
  setFirstAllowanceUsed(programId: string): void {
    const account = this.#accounts.get(programId);
    if (account !== undefined) account.hasUsedFirst = true;
  }

  /**
   * Adds an allowance that was granted to this home. The account may have moved
   * to another home meanwhile; the allowance is this home's all the same.
   */
  addAllowance(
    { programId, budgetTokens, tokens }: GrantedAllowance,
    nowMs: number,
  ): void {
    const account = this.#get(programId, budgetTokens, nowMs);
    account.allowedTokens += tokens;
  }

  /** Records that the program was stopped because its budget is spent. */
  setSpent(programId: string): void {
    const account = this.#accounts.get(programId);
    if (account !== undefined) account.isSpent = true;
  }

  /**
   * Removes the part of an account that can move to another home. Open turns
   * stay with their granted tokens.
   */
  removeMovable(programId: string): MovedAccount | undefined {
    const account = this.#accounts.get(programId);
    if (account === undefined) return undefined;
    const passedTokens = account.passedElsewhereTokens +
      sumForwardedTokens(account);
    const allowedTokens = account.allowedTokens - sumTurnTokens(account);
    for (const [turnId, { isOpen }] of account.turns) {
      if (!isOpen) account.turns.delete(turnId);
    }
    account.allowedTokens = sumTurnTokens(account);
    account.passedElsewhereTokens = 0;
    account.hasMoved = true;
    if (account.turns.size === 0) this.#accounts.delete(programId);
    const { budgetTokens, isSpent } = account;
    return { programId, budgetTokens, allowedTokens, passedTokens, isSpent };
  }

  /** Whether an account has moved to another home, except its open turns. */
  hasMoved(programId: string): boolean {
    return this.#accounts.get(programId)?.hasMoved ?? false;
  }

  /** Adds the part of an account that another home has removed from its own. */
  addMoved(moved: MovedAccount, nowMs: number): void {
    const account = this.#get(moved.programId, moved.budgetTokens, nowMs);
    account.allowedTokens += moved.allowedTokens;
    account.passedElsewhereTokens += moved.passedTokens;
    account.isSpent ||= moved.isSpent;
    account.hasMoved = false;
  }

  /** Finds an account as log lines show it. */
  find(programId: string): AccountView | undefined {
    const account = this.#accounts.get(programId);
    if (account === undefined) return undefined;
    const passedTokens = sumForwardedTokens(account);
    return {
      allowedTokens: account.allowedTokens,
      passedTokens: passedTokens + account.passedElsewhereTokens,
      grantedTokens: sumTurnTokens(account) - passedTokens,
      isSpent: account.isSpent,
    };
  }

  /** Lists the programs whose accounts are held. */
  listPrograms(): string[] {
    return [...this.#accounts.keys()];
  }

  /** Evicts accounts that weren't used since `beforeMs`. */
  removeUnused(beforeMs: number): void {
    for (const [programId, { usedAtMs }] of this.#accounts) {
      if (usedAtMs < beforeMs) this.#accounts.delete(programId);
    }
  }

  #get(programId: string, budgetTokens: number, nowMs: number): Account {
    const existing = this.#accounts.get(programId);
    if (existing !== undefined) {
      existing.usedAtMs = nowMs;
      return existing;
    }
    const account: Account = {
      budgetTokens,
      allowedTokens: 0,
      passedElsewhereTokens: 0,
      hasUsedFirst: false,
      isSpent: false,
      hasMoved: false,
      turns: new Map(),
      usedAtMs: nowMs,
    };
    this.#accounts.set(programId, account);
    return account;
  }
}

/** Counts only what is certain: other homes' allowances may be unspent. */
function isOverBudget(account: Account, turn: TurnRequest): boolean {
  if (account.isSpent) return true;
  let tokens = account.passedElsewhereTokens + turn.turnTokens;
  for (
    const { isOpen, tokens: forwarded, mostTokens } of account.turns.values()
  ) {
    tokens += isOpen ? mostTokens : forwarded;
  }
  return tokens > turn.budgetTokens;
}

function sumTurnTokens({ turns }: Account): number {
  let sum = 0;
  for (const { tokens } of turns.values()) sum += tokens;
  return sum;
}

function sumForwardedTokens({ turns }: Account): number {
  let sum = 0;
  for (const { isOpen, tokens } of turns.values()) sum += isOpen ? 0 : tokens;
  return sum;
}

/**
 * The token accounts of programs at one home gateway.
 *
 * The load that this answers: programs that start turns without end, through
 * several gateways at once, while gateways are cut off, killed and started
 * anew.
 *
 * A budget is divided among homes by allowances, each given to one home and
 * never to two: the first one by the holder of the program's shard, the others
 * by conditional writes to the store. A home grants turns no more than its own
 * allowances. So what all homes pass on stays within the budget, however many
 * of them decide at once; a home that is lost takes its allowances with it.
 */
import type {
  MovedAccount,
  TurnDecision,
  TurnRequest,
} from "../model/token_account.ts";

/** Part of a turn's tokens that is worth a grant of its own. */
const LEAST_GRANT_SHARE = 0.25;

interface Turn {
  readonly isOpen: boolean;
  /** Granted while the turn is open, passed on once it has ended. */
  readonly tokens: number;
  /** Most that the turn passes on, as its caller declared. */
  readonly mostTokens: number;
}

interface Account {
  readonly budgetTokens: number;
  allowedTokens: number;
  /** Tokens that other homes told of with the accounts they moved here. */
  passedElsewhereTokens: number;
  hasAskedFirst: boolean;
  isSpent: boolean;
  /** Whether only the open turns are left here. */
  hasMoved: boolean;
  readonly turns: Map<string, Turn>;
  usedAtMs: number;
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

  /** Decides on a turn and, when it's admitted, reserves what it's granted. */
  open(turn: TurnRequest, nowMs: number): TurnDecision {
    const account = this.#get(turn.programId, turn.budgetTokens, nowMs);
    const known = account.turns.get(turn.turnId);
    const grantedTokens = known?.tokens ?? 0;
    // The answer to an earlier question was lost or is late.
    if (known !== undefined && !known.isOpen) {
      return { kind: "admitted", grantedTokens };
    }
    if (grantedTokens > turn.heldTokens) {
      return { kind: "admitted", grantedTokens };
    }
    if (!turn.isRunning && isOverBudget(account, turn)) {
      return { kind: "over_budget" };
    }
    const { turnTokens, eventTokens } = turn;
    const least = Math.min(
      turnTokens,
      Math.max(eventTokens, Math.ceil(turnTokens * LEAST_GRANT_SHARE)),
    );
    const room = account.allowedTokens - sumTurns(account);
    if (room < least) {
      return { kind: "needs_allowance", missingTokens: least - room };
    }
    if (!turn.isRunning) account.hasMoved = false;
    const tokens = grantedTokens + Math.min(room, turnTokens);
    account.turns.set(turn.turnId, {
      isOpen: true,
      tokens,
      mostTokens: grantedTokens + turnTokens,
    });
    return { kind: "admitted", grantedTokens: tokens };
  }

  /**
   * Ends a turn that passed on some of its tokens. One that isn't open yet is
   * ended beforehand: its caller has given up.
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

  /** Whether the holder of the program's shard is to be asked; once only. */
  takeFirstQuestion(programId: string): boolean {
    const account = this.#accounts.get(programId);
    if (account === undefined || account.hasAskedFirst) return false;
    account.hasAskedFirst = true;
    return true;
  }

  /** Adds an allowance that was given to this home. */
  addAllowance(programId: string, tokens: number): void {
    const account = this.#accounts.get(programId);
    if (account !== undefined) account.allowedTokens += tokens;
  }

  /** Records that the program was stopped before for its spent budget. */
  setSpent(programId: string): void {
    const account = this.#accounts.get(programId);
    if (account !== undefined) account.isSpent = true;
  }

  /**
   * Takes what can move to another home out of an account. Open turns stay
   * with what they were granted.
   */
  takeMovable(programId: string): MovedAccount | undefined {
    const account = this.#accounts.get(programId);
    if (account === undefined) return undefined;
    const passedTokens = account.passedElsewhereTokens + sumPassed(account);
    const allowedTokens = account.allowedTokens - sumTurns(account);
    for (const [turnId, { isOpen }] of account.turns) {
      if (!isOpen) account.turns.delete(turnId);
    }
    account.allowedTokens = sumTurns(account);
    account.passedElsewhereTokens = 0;
    account.hasMoved = true;
    if (account.turns.size === 0) this.#accounts.delete(programId);
    const { budgetTokens, isSpent } = account;
    return { programId, budgetTokens, allowedTokens, passedTokens, isSpent };
  }

  /** Whether an account has moved to another home but for its open turns. */
  hasMoved(programId: string): boolean {
    return this.#accounts.get(programId)?.hasMoved ?? false;
  }

  /** Adds what another home took out of its account. */
  addMoved(moved: MovedAccount, nowMs: number): void {
    const account = this.#get(moved.programId, moved.budgetTokens, nowMs);
    account.allowedTokens += moved.allowedTokens;
    account.passedElsewhereTokens += moved.passedTokens;
    // The home that moves it asked, or was told by one that did.
    account.hasAskedFirst = true;
    account.isSpent ||= moved.isSpent;
    account.hasMoved = false;
  }

  /** Finds an account as log lines show it. */
  find(programId: string): AccountView | undefined {
    const account = this.#accounts.get(programId);
    if (account === undefined) return undefined;
    const passedTokens = sumPassed(account);
    return {
      allowedTokens: account.allowedTokens,
      passedTokens: passedTokens + account.passedElsewhereTokens,
      grantedTokens: sumTurns(account) - passedTokens,
      isSpent: account.isSpent,
    };
  }

  /** Lists the programs whose accounts are held. */
  listPrograms(): string[] {
    return [...this.#accounts.keys()];
  }

  /** Forgets accounts that weren't used since `beforeMs`. */
  removeUnused(beforeMs: number): void {
    for (const [programId, { usedAtMs }] of this.#accounts) {
      if (usedAtMs < beforeMs) this.#accounts.delete(programId);
    }
  }

  #get(programId: string, budgetTokens: number, nowMs: number): Account {
    const known = this.#accounts.get(programId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    const account: Account = {
      budgetTokens,
      allowedTokens: 0,
      passedElsewhereTokens: 0,
      hasAskedFirst: false,
      isSpent: false,
      hasMoved: false,
      turns: new Map(),
      usedAtMs: nowMs,
    };
    this.#accounts.set(programId, account);
    return account;
  }
}

/** Counts only what is certain: allowances of other homes may be unspent. */
function isOverBudget(account: Account, turn: TurnRequest): boolean {
  if (account.isSpent) return true;
  let tokens = account.passedElsewhereTokens + turn.turnTokens;
  for (const { isOpen, tokens: passed, mostTokens } of account.turns.values()) {
    tokens += isOpen ? mostTokens : passed;
  }
  return tokens > turn.budgetTokens;
}

function sumTurns({ turns }: Account): number {
  let sum = 0;
  for (const { tokens } of turns.values()) sum += tokens;
  return sum;
}

function sumPassed({ turns }: Account): number {
  let sum = 0;
  for (const { isOpen, tokens } of turns.values()) sum += isOpen ? 0 : tokens;
  return sum;
}

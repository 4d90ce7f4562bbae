/**
 * The token accounts of programs at one of their home gateways.
 *
 * The load that this answers: programs that start turns without end, through
 * several gateways at once, and come back after they were stopped. A turn is
 * admitted only if the budget holds it at its most beside all other turns.
 *
 * What an account is made of merges in any order: turns by their id, where a
 * closed one wins over an open one, and the largest of what was recorded. So
 * two homes that saw different turns agree once they've exchanged them.
 *
 * An account that isn't stored may be lost with all of its homes. A program may
 * pass on only a part of its budget before its allowance is stored. A home that
 * may have lost accounts takes that part, or what a record of the store allows,
 * for spent, and stores an allowance before the first turn that it admits. So
 * losses that follow one another find all that was passed on before, and the
 * whole stays within the budget and one turn more.
 */
import type {
  AccountRecord,
  AccountState,
  AccountTurn,
  TurnDecision,
  TurnRequest,
} from "../model/token_account.ts";

/** Part of a budget that may be passed on before the store keeps a record. */
const UNSTORED_SHARE = 0.4;
/** Turns of a budget that stay free for a program that is new after a loss. */
const KEPT_TURNS = 2;
/** Turns that one record allows beyond the present one. */
const RECORD_AHEAD_TURNS = 2;

interface Account {
  /** When its program was met, if it was taken for new without doubt. */
  metAtMs: number | undefined;
  /** Whether a loss was noticed since that may have taken its turns. */
  isQuestioned: boolean;
  budgetTokens: number;
  earlierTokens: number;
  isAssumed: boolean;
  recordedTokens: number;
  readonly toldBy: Set<string>;
  readonly regions: Set<string>;
  readonly turns: Map<string, AccountTurn>;
  usedAtMs: number;
}

/** The accounts that one gateway holds. */
export class TokenAccounts {
  readonly #accounts = new Map<string, Account>();
  /** Regions that asked for programs before these were known here. */
  readonly #askedBy = new Map<string, { regions: Set<string>; atMs: number }>();
  #mayHaveLostUntilMs = Number.NEGATIVE_INFINITY;

  /** Number of accounts held. */
  get size(): number {
    return this.#accounts.size;
  }

  /**
   * Takes programs for ones that have spent if they're unknown until `untilMs`,
   * or if they were met at `sinceMs` or later and no other home knows them.
   */
  setLoss(untilMs: number, sinceMs = Number.POSITIVE_INFINITY): void {
    this.#mayHaveLostUntilMs = untilMs;
    for (const account of this.#accounts.values()) {
      const { metAtMs } = account;
      if (metAtMs !== undefined && metAtMs >= sinceMs) {
        account.isQuestioned = true;
      }
    }
  }

  /** Whether unknown programs may have spent tokens. */
  isLossPossible(nowMs: number): boolean {
    return nowMs < this.#mayHaveLostUntilMs;
  }

  /** Records that the store keeps an allowance which this home wrote. */
  addRecord(programId: string, record: AccountRecord): void {
    const account = this.#accounts.get(programId);
    if (account === undefined) return;
    const { allowedTokens, writtenBy } = record;
    account.recordedTokens = Math.max(account.recordedTokens, allowedTokens);
    account.toldBy.add(writtenBy);
  }

  /**
   * Adds a record that the store was found to hold. What it allows counts as
   * spent, unless the home that wrote it has told of its turns.
   */
  addFoundRecord(programId: string, record: AccountRecord): void {
    const account = this.#accounts.get(programId);
    if (account === undefined) return;
    const { allowedTokens, isSpent, writtenBy } = record;
    account.recordedTokens = Math.max(account.recordedTokens, allowedTokens);
    if (!account.isAssumed || account.toldBy.has(writtenBy)) return;
    account.earlierTokens = Math.max(account.earlierTokens, allowedTokens);
    if (isSpent) account.isAssumed = false;
  }

  /**
   * Decides on a turn and, when it's admitted, reserves its tokens.
   * `mayBeKnown` tells that an unknown program may be known elsewhere.
   */
  open(turn: TurnRequest, nowMs: number, mayBeKnown = false): TurnDecision {
    const account = this.#get(turn, nowMs, mayBeKnown);
    if (account.turns.has(turn.turnId)) return { kind: "admitted" };
    const { budgetTokens, turnTokens } = turn;
    const turnsTokens = sumTurns(account);
    const wanted = account.earlierTokens + turnsTokens + turnTokens;
    if (wanted > budgetTokens) {
      const isDoubtful = account.isAssumed &&
        turnsTokens + turnTokens <= budgetTokens;
      return { kind: isDoubtful ? "unknown" : "over_budget" };
    }
    const unstored = account.isAssumed ? 0 : computeUnstored(turn) + turnTokens;
    if (wanted > Math.max(unstored, account.recordedTokens)) {
      const ahead = wanted + turnTokens * RECORD_AHEAD_TURNS;
      const allowedTokens = Math.min(budgetTokens, ahead);
      return { kind: "needs_record", allowedTokens };
    }
    this.#setTurn(account, {
      turnId: turn.turnId,
      isOpen: true,
      tokens: turnTokens,
    });
    return { kind: "admitted" };
  }

  /**
   * Reserves a turn's tokens that another home admitted; false when the budget
   * doesn't hold them beside turns that the other home may not have seen.
   */
  confirm(turn: TurnRequest, nowMs: number): boolean {
    const account = this.#get(turn, nowMs);
    const { turnId, turnTokens, budgetTokens } = turn;
    if (account.turns.has(turnId)) return true;
    const earlier = account.isAssumed ? 0 : account.earlierTokens;
    if (earlier + sumTurns(account) + turnTokens > budgetTokens) return false;
    this.#setTurn(account, { turnId, isOpen: true, tokens: turnTokens });
    return true;
  }

  /** Ends a turn that passed on some of its tokens. */
  close(programId: string, turnId: string, passedTokens: number): void {
    const account = this.#accounts.get(programId);
    if (account === undefined) return;
    this.#setTurn(account, { turnId, isOpen: false, tokens: passedTokens });
  }

  /** Merges an account as another home knows it. */
  merge(state: AccountState, nowMs: number): void {
    const account = this.#accounts.get(state.programId) ??
      this.#create(state.programId, { ...state, nowMs });
    account.usedAtMs = nowMs;
    if (!state.isAssumed) account.metAtMs = undefined;
    // What a home remembers for certain replaces what is only assumed.
    if (account.isAssumed && !state.isAssumed) {
      account.earlierTokens = state.earlierTokens;
      account.isAssumed = false;
    } else if (account.isAssumed === state.isAssumed) {
      account.earlierTokens = Math.max(
        account.earlierTokens,
        state.earlierTokens,
      );
    }
    account.recordedTokens = Math.max(
      account.recordedTokens,
      state.recordedTokens,
    );
    for (const home of state.toldBy) account.toldBy.add(home);
    for (const region of state.regions) account.regions.add(region);
    for (const turn of state.turns) this.#setTurn(account, turn);
  }

  /**
   * Adds a region that knows an account or asked for it; false when the account
   * isn't known here or that's no news.
   */
  addRegion(programId: string, region: string, nowMs: number): boolean {
    const account = this.#accounts.get(programId);
    if (account === undefined) {
      const asked = this.#askedBy.get(programId);
      const regions = (asked?.regions ?? new Set()).add(region);
      this.#askedBy.set(programId, { regions, atMs: nowMs });
      return false;
    }
    if (account.regions.has(region)) return false;
    account.regions.add(region);
    return true;
  }

  /** Finds an account as it's exchanged. */
  find(programId: string): AccountState | undefined {
    const account = this.#accounts.get(programId);
    if (account === undefined) return undefined;
    return {
      programId,
      budgetTokens: account.budgetTokens,
      earlierTokens: account.earlierTokens,
      isAssumed: account.isAssumed,
      recordedTokens: account.recordedTokens,
      toldBy: [...account.toldBy],
      regions: [...account.regions],
      turns: [...account.turns.values()],
    };
  }

  /** Lists the programs whose accounts are held. */
  listPrograms(): string[] {
    return [...this.#accounts.keys()];
  }

  /** Forgets accounts that weren't used since `beforeMs`. */
  removeUnused(beforeMs: number): void {
    for (const [programId, account] of this.#accounts) {
      if (account.usedAtMs < beforeMs) this.#accounts.delete(programId);
    }
    for (const [programId, { atMs }] of this.#askedBy) {
      if (atMs < beforeMs) this.#askedBy.delete(programId);
    }
  }

  #get(turn: TurnRequest, nowMs: number, mayBeKnown = false): Account {
    const known = this.#accounts.get(turn.programId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      if (known.metAtMs !== undefined && known.isQuestioned) {
        known.metAtMs = undefined;
        known.isAssumed = true;
        known.earlierTokens = computeUnstored(turn);
      }
      return known;
    }
    const isAssumed = mayBeKnown || this.isLossPossible(nowMs);
    const account = this.#create(turn.programId, {
      budgetTokens: turn.budgetTokens,
      earlierTokens: isAssumed ? computeUnstored(turn) : 0,
      isAssumed,
      recordedTokens: 0,
      toldBy: [],
      regions: [...this.#askedBy.get(turn.programId)?.regions ?? []],
      nowMs,
    });
    if (!isAssumed) account.metAtMs = nowMs;
    return account;
  }

  #create(
    programId: string,
    first: Omit<AccountState, "programId" | "turns"> & { nowMs: number },
  ): Account {
    const account: Account = {
      metAtMs: undefined,
      isQuestioned: false,
      budgetTokens: first.budgetTokens,
      earlierTokens: first.earlierTokens,
      isAssumed: first.isAssumed,
      recordedTokens: first.recordedTokens,
      toldBy: new Set(first.toldBy),
      regions: new Set(first.regions),
      turns: new Map(),
      usedAtMs: first.nowMs,
    };
    this.#accounts.set(programId, account);
    return account;
  }

  #setTurn(account: Account, turn: AccountTurn): void {
    const known = account.turns.get(turn.turnId);
    if (known !== undefined && !known.isOpen) {
      if (turn.isOpen || known.tokens >= turn.tokens) return;
    }
    account.turns.set(turn.turnId, turn);
  }
}

/** Tokens that may be passed on, beside one turn, without a record. */
function computeUnstored({ budgetTokens, turnTokens }: TurnRequest): number {
  const share = Math.floor(budgetTokens * UNSTORED_SHARE);
  return Math.max(0, Math.min(share, budgetTokens - turnTokens * KEPT_TURNS));
}

function sumTurns(account: Account): number {
  let sum = 0;
  for (const { tokens } of account.turns.values()) sum += tokens;
  return sum;
}

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
 * pass on only a part of its budget before its allowance is stored; a home that
 * may have lost accounts takes that part for spent. Together that stays within
 * the budget and one turn more.
 */

/** Part of a budget that may be passed on before the store keeps a record. */
const UNSTORED_SHARE = 0.4;
/** Turns of a budget that stay free for a program that is new after a loss. */
const KEPT_TURNS = 2;
/** Turns that one record allows beyond the present one. */
const RECORD_AHEAD_TURNS = 2;

/** A turn that asks for tokens. */
export interface TurnRequest {
  readonly programId: string;
  readonly turnId: string;
  readonly budgetTokens: number;
  /** Most tokens that the turn generates. */
  readonly turnTokens: number;
}

/** What a home says of a turn. */
export type TurnDecision =
  | { readonly kind: "admitted" }
  /** The budget doesn't hold the turn. */
  | { readonly kind: "over_budget" }
  /** The budget holds it only if nothing was spent before a loss. */
  | { readonly kind: "unknown" }
  /** A record of at least this many tokens must be stored first. */
  | { readonly kind: "needs_record"; readonly allowedTokens: number };

/** What the store keeps of a program. */
export interface AccountRecord {
  /** Most tokens that may have been passed on. */
  readonly allowedTokens: number;
  /** Whether the program was stopped because its budget is spent. */
  readonly isSpent: boolean;
}

/** One turn of an account. */
export interface AccountTurn {
  readonly turnId: string;
  readonly isOpen: boolean;
  /** Passed on, or the most that an open turn may pass on. */
  readonly tokens: number;
}

/** An account as homes exchange it. */
export interface AccountState {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Tokens that may have been passed on in turns that no home remembers. */
  readonly earlierTokens: number;
  /** Whether `earlierTokens` is only assumed. */
  readonly isAssumed: boolean;
  /** Tokens that the store's record allows. */
  readonly recordedTokens: number;
  /** Other regions that know the account. */
  readonly regions: readonly string[];
  readonly turns: readonly AccountTurn[];
}

interface Account {
  budgetTokens: number;
  earlierTokens: number;
  isAssumed: boolean;
  recordedTokens: number;
  readonly regions: Set<string>;
  readonly turns: Map<string, AccountTurn>;
  usedAtMs: number;
}

/** The accounts that one gateway holds. */
export class TokenAccounts {
  readonly #accounts = new Map<string, Account>();
  /** Records that the store held when this process read them. */
  readonly #records = new Map<string, AccountRecord>();
  /** Regions that asked for programs before these were known here. */
  readonly #askedBy = new Map<string, { regions: Set<string>; atMs: number }>();
  #mayHaveLostUntilMs = Number.NEGATIVE_INFINITY;

  /** Number of accounts held. */
  get size(): number {
    return this.#accounts.size;
  }

  /** Takes programs that are unknown until then for ones that have spent. */
  setLoss(untilMs: number): void {
    this.#mayHaveLostUntilMs = untilMs;
  }

  /** Whether unknown programs may have spent tokens. */
  isLossPossible(nowMs: number): boolean {
    return nowMs < this.#mayHaveLostUntilMs;
  }

  /** Adds what the store keeps of a program. */
  addRecord(programId: string, record: AccountRecord): void {
    const { allowedTokens, isSpent } = record;
    const known = this.#records.get(programId);
    this.#records.set(programId, {
      allowedTokens: Math.max(known?.allowedTokens ?? 0, allowedTokens),
      isSpent: isSpent || known?.isSpent === true,
    });
    const account = this.#accounts.get(programId);
    if (account === undefined) return;
    account.recordedTokens = Math.max(account.recordedTokens, allowedTokens);
  }

  /** Decides on a turn and, when it's admitted, reserves its tokens. */
  open(turn: TurnRequest, nowMs: number): TurnDecision {
    const account = this.#get(turn, nowMs);
    if (account.turns.has(turn.turnId)) return { kind: "admitted" };
    const { budgetTokens, turnTokens } = turn;
    const turnsTokens = sumTurns(account);
    const wanted = account.earlierTokens + turnsTokens + turnTokens;
    if (wanted > budgetTokens) {
      const isDoubtful = account.isAssumed &&
        turnsTokens + turnTokens <= budgetTokens;
      return { kind: isDoubtful ? "unknown" : "over_budget" };
    }
    const assumed = account.isAssumed ? account.earlierTokens : 0;
    const unstored = assumed + computeUnstored(turn) + turnTokens;
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

  #get(turn: TurnRequest, nowMs: number): Account {
    const known = this.#accounts.get(turn.programId);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    const record = this.#records.get(turn.programId);
    const recorded = record?.allowedTokens ?? 0;
    const isDoubtful = this.isLossPossible(nowMs);
    const assumed = isDoubtful ? computeUnstored(turn) : 0;
    return this.#create(turn.programId, {
      budgetTokens: turn.budgetTokens,
      earlierTokens: Math.max(recorded, assumed),
      isAssumed: record === undefined ? isDoubtful : !record.isSpent,
      recordedTokens: recorded,
      regions: [...this.#askedBy.get(turn.programId)?.regions ?? []],
      nowMs,
    });
  }

  #create(
    programId: string,
    first: Omit<AccountState, "programId" | "turns"> & { nowMs: number },
  ): Account {
    const account: Account = {
      budgetTokens: first.budgetTokens,
      earlierTokens: first.earlierTokens,
      isAssumed: first.isAssumed,
      recordedTokens: first.recordedTokens,
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

/**
 * What gateways say to each other of the tokens that programs may generate, and
 * what the store keeps of them.
 */

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
  /** The home that wrote it, as one process. */
  readonly writtenBy: string;
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
  /** Homes whose turns are all among `turns`. */
  readonly toldBy: readonly string[];
  /** Other regions that know the account. */
  readonly regions: readonly string[];
  readonly turns: readonly AccountTurn[];
}

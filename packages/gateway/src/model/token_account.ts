/**
 * The token accounts of programs, as gateways exchange them and as the store
 * records them.
 */

/** A turn's request for tokens. */
export interface TurnRequest {
  readonly programId: string;
  readonly turnId: string;
  readonly budgetTokens: number;
  /** Maximum tokens that the turn may still generate. */
  readonly turnTokens: number;
  /** Tokens per event; a smaller grant isn't enough for any event. */
  readonly eventTokens: number;
  /** Tokens that the called home has granted the turn so far. */
  readonly heldTokens: number;
  /** Whether a target already runs the turn, so that it can't be refused. */
  readonly isRunning: boolean;
}

/** The decision of a home's accounts on a turn. */
export type TurnDecision =
  /** The turn may forward `grantedTokens` in all, including earlier grants. */
  | { readonly kind: "admitted"; readonly grantedTokens: number }
  /** The budget doesn't cover the turn. */
  | { readonly kind: "over_budget" }
  /** The home needs more tokens of the budget before it can grant. */
  | {
    readonly kind: "needs_allowance";
    /** With fewer, nothing can be granted. */
    readonly missingTokens: number;
    /** Enough for all that the turn declares. */
    readonly wantedTokens: number;
  };

/** A home's response to a turn's request. */
export type TurnResponse =
  | Exclude<TurnDecision, { kind: "admitted" | "needs_allowance" }>
  | {
    readonly kind: "admitted";
    readonly grantedTokens: number;
    /** Whether the home has seen another turn; absent from old builds. */
    readonly hasEarlierTurns?: boolean;
  }
  /** The home waits for the store; the caller has to repeat the request. */
  | { readonly kind: "pending" }
  /** The remaining budget can't be determined at present. */
  | { readonly kind: "unavailable" };

/** A program's record in the store. */
export interface AccountRecord {
  /**
   * Tokens of the budget that homes were allowed to forward, including the
   * first allowance. The number never decreases.
   */
  readonly allowedTokens: number;
  /** Whether the program was stopped because its budget is spent. */
  readonly isSpent: boolean;
  /** Identifies the write, to detect its success if the response was lost. */
  readonly writtenBy: string;
}

/** The part of an account that moves to another home. */
export interface MovedAccount {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Allowed tokens that no turn holds; the sender no longer has them. */
  readonly allowedTokens: number;
  /** Tokens forwarded in turns that have ended; reported only once. */
  readonly passedTokens: number;
  readonly isSpent: boolean;
}

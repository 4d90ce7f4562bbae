/**
 * What gateways say to each other of the tokens that programs may generate, and
 * what the store keeps of them.
 */

/** A turn that asks for tokens. */
export interface TurnRequest {
  readonly programId: string;
  readonly turnId: string;
  readonly budgetTokens: number;
  /** Most tokens that the turn may still generate. */
  readonly turnTokens: number;
  /** Tokens of one event; a grant of fewer lets nothing through. */
  readonly eventTokens: number;
  /** Tokens that the asked home has granted the turn so far. */
  readonly heldTokens: number;
  /** Whether a target already runs the turn, so that it can't be refused. */
  readonly isRunning: boolean;
}

/** What a home's accounts say of a turn. */
export type TurnDecision =
  /** `grantedTokens` in all may be passed on, the earlier grants included. */
  | { readonly kind: "admitted"; readonly grantedTokens: number }
  /** The budget doesn't hold the turn. */
  | { readonly kind: "over_budget" }
  /** The home needs this much more of the budget before it can grant any. */
  | { readonly kind: "needs_allowance"; readonly missingTokens: number };

/** What a home answers. */
export type TurnAnswer =
  | Exclude<TurnDecision, { kind: "needs_allowance" }>
  /** The home waits for the store; it's to be asked again. */
  | { readonly kind: "pending" }
  /** Nobody can tell at present what is left of the budget. */
  | { readonly kind: "unavailable" };

/** What the store keeps of a program. */
export interface AccountRecord {
  /**
   * Tokens of the budget that homes were allowed to pass on, the first
   * allowance included. It only grows.
   */
  readonly allowedTokens: number;
  /** Whether the program was stopped because its budget is spent. */
  readonly isSpent: boolean;
  /** Names the write, to find one again whose answer was lost. */
  readonly writtenBy: string;
}

/** The part of an account that moves to another home. */
export interface MovedAccount {
  readonly programId: string;
  readonly budgetTokens: number;
  /** Allowed tokens that no turn holds; the sender no longer has them. */
  readonly allowedTokens: number;
  /** Tokens passed on in turns that have ended, to be told only once. */
  readonly passedTokens: number;
  readonly isSpent: boolean;
}

/**
 * The fields of a caller's request, decoded from its headers.
 */

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The account that a turn's tokens are counted against. */
export interface TokenBudget {
  readonly programId: string;
  /** Tokens that all turns of the program may generate. */
  readonly budgetTokens: number;
  /** Maximum tokens that this turn generates. */
  readonly turnTokens: number;
}

/** The decoded fields of one request. */
export interface RequestFields {
  /** Identifies this client attempt; unique per attempt. */
  readonly requestId: string;
  /** How long the caller waits, from the moment it sent the request. */
  readonly deadlineMs: number | undefined;
  readonly programId: string | undefined;
  /** Names the line of turns within the program. */
  readonly sessionId: string | undefined;
  /** The caller's key; it never reaches a target where tenants have keys. */
  readonly key: string | undefined;
  /** Time left until the program's objective. */
  readonly programLeftMs: number | undefined;
  readonly budget: TokenBudget | undefined;
  readonly prompt: readonly PromptPart[];
  /** Tokens of the whole prompt, as the caller counts them. */
  readonly promptTokens: number | undefined;
  /** Maximum tokens that the request generates. */
  readonly maxOutputTokens: number | undefined;
  /** The caller's estimate of the generated tokens, often far off. */
  readonly outputHint: number | undefined;
  /** The kept turn that this turn continues. */
  readonly previousTurnId: string | undefined;
  /** Names the object that the request is about; the same target is faster. */
  readonly affinityKey: string | undefined;
  /** Event after which a resumed stream continues; 0 for a new stream. */
  readonly resumeAfter: number;
  /** The attempt that began a resumed stream, as the caller names it. */
  readonly resumedRequestId: string | undefined;
}

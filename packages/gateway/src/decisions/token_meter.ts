/**
 * Counts the events of one turn against the tokens that homes have granted it.
 *
 * A program may run many turns at once, each declaring far more tokens than it
 * generates. A turn therefore starts with a part of the tokens that it
 * declares, and requests more while its first events are forwarded.
 */

/** More tokens are requested once the grants don't cover this many events. */
const LOOKAHEAD_EVENTS = 2;

/** The declared size of one turn. */
export interface TurnSize {
  readonly turnTokens: number;
  /** Tokens per event; 0 if unknown. */
  readonly eventTokens: number;
}

/** The token count of one turn. */
export class TokenMeter {
  readonly #turnTokens: number;
  readonly #eventTokens: number;
  #grantedTokens = 0;
  #events = 0;

  readonly #hasEventSize: boolean;

  constructor({ turnTokens, eventTokens }: TurnSize) {
    this.#hasEventSize = eventTokens > 0;
    // An event of unknown size may contain the complete turn.
    this.#eventTokens = this.#hasEventSize ? eventTokens : turnTokens;
    // The last event counts in full, even if only part of it is needed.
    this.#turnTokens = Math.ceil(turnTokens / this.#eventTokens) *
      this.#eventTokens;
  }

  /** Maximum tokens of one event. */
  get eventTokens(): number {
    return this.#eventTokens;
  }

  /** Whether the turn has generated all that it declares. */
  get isFull(): boolean {
    return this.#hasEventSize &&
      this.#events * this.#eventTokens >= this.#turnTokens;
  }

  /** Tokens of the events forwarded so far. */
  get passedTokens(): number {
    return this.#countTokens(this.#events);
  }

  /** Tokens that the turn may need beyond its grants. */
  get missingTokens(): number {
    return Math.max(0, this.#turnTokens - this.#grantedTokens);
  }

  /** Whether to request more tokens before the grants are used up. */
  get needsMore(): boolean {
    return this.#countTokens(this.#events + LOOKAHEAD_EVENTS) >
      this.#grantedTokens;
  }

  add(tokens: number): void {
    this.#grantedTokens += tokens;
  }

  /** Whether the tokens of the next event are granted. */
  get canAddEvent(): boolean {
    return !this.isFull &&
      this.#countTokens(this.#events + 1) <= this.#grantedTokens;
  }

  /** Counts the next event; false when its tokens aren't granted yet. */
  addEvent(): boolean {
    if (!this.canAddEvent) return false;
    this.#events += 1;
    return true;
  }

  #countTokens(events: number): number {
    return Math.min(events * this.#eventTokens, this.#turnTokens);
  }
}

/**
 * Counts the events of one turn against the tokens that homes have granted it.
 *
 * The load that this answers: many turns of one program at once, each declaring
 * far more tokens than it generates. A turn begins with a part of what it
 * declares, and asks for more while its first events pass.
 */

/** Events that may still pass when more is asked for. */
const EVENTS_AHEAD = 2;

/** What one turn may generate. */
export interface TurnSize {
  readonly turnTokens: number;
  /** Tokens of one event; 0 if that isn't known. */
  readonly eventTokens: number;
}

/** The count of one turn. */
export class TokenMeter {
  readonly #turnTokens: number;
  readonly #eventTokens: number;
  #grantedTokens = 0;
  #events = 0;

  readonly #isSizeKnown: boolean;

  constructor({ turnTokens, eventTokens }: TurnSize) {
    this.#isSizeKnown = eventTokens > 0;
    // Of unknown size, one event may be the whole turn.
    this.#eventTokens = this.#isSizeKnown ? eventTokens : turnTokens;
    // The last event counts in full, however little of it is needed.
    this.#turnTokens = Math.ceil(turnTokens / this.#eventTokens) *
      this.#eventTokens;
  }

  /** Tokens of one event at most. */
  get eventTokens(): number {
    return this.#eventTokens;
  }

  /** Whether the turn has generated all that it declares. */
  get isFull(): boolean {
    return this.#isSizeKnown &&
      this.#events * this.#eventTokens >= this.#turnTokens;
  }

  /** Tokens passed on. */
  get passedTokens(): number {
    return this.#countTokens(this.#events);
  }

  /** Tokens that the turn may need beyond its grants. */
  get missingTokens(): number {
    return Math.max(0, this.#turnTokens - this.#grantedTokens);
  }

  /** Whether more is to be asked for before the grants are used up. */
  get needsMore(): boolean {
    return this.#countTokens(this.#events + EVENTS_AHEAD) > this.#grantedTokens;
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

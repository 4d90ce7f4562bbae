/**
 * How many tokens the requests of a route generate, as observed, and how well
 * their callers' hints predict it.
 */

/** Weight of a new sample; about the last 30 samples count. */
const SAMPLE_WEIGHT = 0.03;

/** What a request says of its length. */
export interface LengthHints {
  readonly maxOutputTokens: number | undefined;
  readonly outputHint: number | undefined;
}

/** The generated tokens of one route's requests. */
export class OutputLengths {
  #meanTokens: number | undefined;
  #meanError = 0;
  #hintError: number | undefined;

  /** Records the tokens that a complete response had. */
  record(tokens: number, { outputHint }: LengthHints): void {
    const before = this.#meanTokens;
    if (outputHint !== undefined) {
      const error = Math.abs(outputHint - tokens);
      this.#hintError = computeMean(this.#hintError, error);
    }
    if (before !== undefined) {
      this.#meanError = computeMean(this.#meanError, Math.abs(before - tokens));
    }
    this.#meanTokens = computeMean(before, tokens);
  }

  /** Estimates the tokens of a request; 0 while nothing is known. */
  compute({ maxOutputTokens, outputHint }: LengthHints): number {
    const blended = this.#computeBlend(outputHint) ?? 0;
    return Math.min(maxOutputTokens ?? Number.POSITIVE_INFINITY, blended);
  }

  /** Weighs the hint by how much nearer hints were than the mean. */
  #computeBlend(hint: number | undefined): number | undefined {
    const mean = this.#meanTokens;
    if (hint === undefined || mean === undefined) return hint ?? mean;
    if (this.#hintError === undefined) return (hint + mean) / 2;
    const errors = this.#meanError + this.#hintError;
    const hintWeight = errors === 0 ? 0.5 : this.#meanError / errors;
    return hint * hintWeight + mean * (1 - hintWeight);
  }
}

function computeMean(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + (sample - mean) * SAMPLE_WEIGHT;
}

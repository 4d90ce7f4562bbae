/**
 * The ratio of two sums whose samples lose weight with time. The sums can be
 * added up over gateways, unlike averages.
 */
export class DecayedRatio {
  readonly #halfLifeMs: number;
  #above = 0;
  #below = 0;
  #atMs = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Adds a sample to both sums. */
  add(above: number, below: number, nowMs: number): void {
    const weight = this.computeWeight(nowMs);
    this.#above = this.#above * weight + above;
    this.#below = this.#below * weight + below;
    this.#atMs = Math.max(this.#atMs, nowMs);
  }

  /** Share of a sample's weight that is left by now. */
  computeWeight(nowMs: number): number {
    return 2 ** (Math.min(0, this.#atMs - nowMs) / this.#halfLifeMs);
  }

  /** Both sums as they count now. */
  computeSums(nowMs: number): { above: number; below: number } {
    const weight = this.computeWeight(nowMs);
    return { above: this.#above * weight, below: this.#below * weight };
  }

  /** Both sums as they were at the last sample. */
  get sums(): { above: number; below: number } {
    return { above: this.#above, below: this.#below };
  }

  /** The ratio of all samples; undefined before the first one. */
  get ratio(): number | undefined {
    return this.#below > 0 ? this.#above / this.#below : undefined;
  }
}

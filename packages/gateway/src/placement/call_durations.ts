/**
 * How long the plain calls of a route take at a target of average speed.
 */

/** Samples kept; about a minute of one gateway's calls of a route. */
const KEPT_SAMPLES = 64;
const LATE_QUANTILE = 0.9;
/** Weight of a sample in the mean: the slow first calls soon don't count. */
const SAMPLE_WEIGHT = 0.1;

/** The durations of one route's calls. */
export class CallDurations {
  readonly #samplesMs: number[] = [];
  #next = 0;
  #count = 0;
  #meanMs: number | undefined;
  #lateMs: number | undefined;

  /** Mean in ms; undefined before the first sample. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** The 90th percentile in ms; undefined before the first sample. */
  get lateMs(): number | undefined {
    if (this.#lateMs === undefined && this.#samplesMs.length > 0) {
      const sorted = [...this.#samplesMs].sort((left, right) => left - right);
      this.#lateMs = sorted[Math.floor(sorted.length * LATE_QUANTILE)];
    }
    return this.#lateMs;
  }

  /** Records a call's duration; replaces the oldest sample. */
  record(durationMs: number): void {
    this.#count += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.#count);
    const meanMs = this.#meanMs ?? durationMs;
    this.#meanMs = meanMs + (durationMs - meanMs) * weight;
    this.#samplesMs[this.#next] = durationMs;
    this.#next = (this.#next + 1) % KEPT_SAMPLES;
    this.#lateMs = undefined;
  }
}

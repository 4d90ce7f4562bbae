/**
 * How much of what a class or tenant asked for was served lately. The counts
 * decay, so that a past crest doesn't decide on the present one.
 */

/** Time in which the counts halve: about the length of a crest. */
const HALF_LIFE_MS = 5_000;
/**
 * A class or tenant may be served a quarter as often as all requests together,
 * but not less. Below 0.35 it goes first, which leaves a margin for the delay
 * until that shows.
 */
const MIN_RELATIVE_SHARE = 0.35;
/** Requests below which a share says little. */
const MIN_OFFERED = 4;

/** Decayed counts of the requests offered and served. */
export class ServedShare {
  #offered = 0;
  #served = 0;
  #atMs = 0;

  recordOffered(nowMs: number): void {
    this.#expire(nowMs);
    this.#offered += 1;
  }

  /** Records that a request goes to a target, or (-1) that it came back. */
  recordServed(nowMs: number, count = 1): void {
    this.#expire(nowMs);
    this.#served = Math.max(0, this.#served + count);
  }

  /** Served of each offered request; undefined while there are too few. */
  computeRatio(nowMs: number): number | undefined {
    this.#expire(nowMs);
    if (this.#offered < MIN_OFFERED) return undefined;
    return Math.min(1, this.#served / this.#offered);
  }

  /** Whether far less of it was served than of all requests together. */
  isStarved(all: ServedShare, nowMs: number): boolean {
    const own = this.computeRatio(nowMs);
    const total = all.computeRatio(nowMs);
    if (own === undefined || total === undefined) return false;
    return own < total * MIN_RELATIVE_SHARE;
  }

  #expire(nowMs: number): void {
    const elapsedMs = nowMs - this.#atMs;
    if (elapsedMs <= 0) return;
    const factor = 2 ** (-elapsedMs / HALF_LIFE_MS);
    this.#offered *= factor;
    this.#served *= factor;
    this.#atMs = nowMs;
  }
}

/**
 * The seeded generator behind every random choice of the decisions.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Values dropped at the start, which are alike for neighbouring seeds. */
const DROPPED_VALUES = 16;

/** A sequence of random values that a seed determines. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
    for (let count = 0; count < DROPPED_VALUES; count += 1) {
      this.#generator.next();
    }
  }

  /** Takes a value from 0 (included) to 1 (excluded). */
  takeFloat(): number {
    return uniformFloat64(this.#generator);
  }

  /** Takes an integer from 0 (included) to `count` (excluded). */
  takeIndex(count: number): number {
    return Math.floor(this.takeFloat() * count);
  }

  /** Takes a value from `low` (included) to `high` (excluded). */
  takeBetween(low: number, high: number): number {
    return low + this.takeFloat() * (high - low);
  }
}

/**
 * The seeded generator for all random choices of the scheduler's decisions.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Initial values discarded, since they're similar for neighbouring seeds. */
const DISCARDED_VALUES = 16;

/** A deterministic sequence of random values. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
    for (let count = 0; count < DISCARDED_VALUES; count += 1) {
      this.#generator.next();
    }
  }

  /** Takes a value from 0 (inclusive) to 1 (exclusive). */
  takeFloat(): number {
    return uniformFloat64(this.#generator);
  }

  /** Takes an integer from 0 (inclusive) to `count` (exclusive). */
  takeIndex(count: number): number {
    return Math.floor(this.takeFloat() * count);
  }

  /** Takes a value from `low` (inclusive) to `high` (exclusive). */
  takeBetween(low: number, high: number): number {
    return low + this.takeFloat() * (high - low);
  }
}

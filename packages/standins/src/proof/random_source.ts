/**
 * Seeded random choices of the proofs.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random choices that a seed repeats. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Takes a whole number from `low` to `high`, both included. */
  take(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Chooses one item of a list that isn't empty. */
  choose<Item>(items: readonly Item[]): Item {
    const item = items[this.take(0, items.length - 1)];
    if (item === undefined) throw new RangeError("the list is empty");
    return item;
  }

  /** Whether an event of a given chance, in a hundred, happens. */
  isHit(percent: number): boolean {
    return this.take(1, 100) <= percent;
  }
}

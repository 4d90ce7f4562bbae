/**
 * Seeded random choices for fault schedules and callers.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random choices that are reproducible from a seed. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Chooses an integer from `low` to `high`, both inclusive. */
  chooseInteger(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Chooses one item of a non-empty list. */
  choose<Item>(items: readonly Item[]): Item {
    const item = items[this.chooseInteger(0, items.length - 1)];
    if (item === undefined) throw new RangeError("the list is empty");
    return item;
  }

  /** Returns true with the given probability in percent. */
  isHit(percent: number): boolean {
    return this.chooseInteger(1, 100) <= percent;
  }
}

/**
 * Seeded random choices.
 */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

type Generator = ReturnType<typeof xoroshiro128plus>;

/** A seeded source of random choices. */
export class RandomChooser {
  readonly #generator: Generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Chooses a whole number from zero to below the limit. */
  chooseIndex(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  /** Chooses up to `count` distinct members, in random order. */
  chooseSome<T>(members: readonly T[], count: number): T[] {
    const rest = [...members];
    const chosen: T[] = [];
    while (chosen.length < count && rest.length > 0) {
      const index = this.chooseIndex(rest.length);
      const member = rest[index];
      const last = rest.pop();
      if (member === undefined || last === undefined) break;
      chosen.push(member);
      if (index < rest.length) rest[index] = last;
    }
    return chosen;
  }
}

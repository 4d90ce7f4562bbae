/**
 * Which keepers hold the facts of a key. Every gateway and every keeper that
 * knows the same keepers gets the same order, so that nothing about the place of
 * a fact has to be told.
 *
 * A keeper ranks all keys that it holds for each other one that starts, so a
 * rank costs a few operations on two hashes.
 */
import { computeHash, computeMixedHash } from "@camphorlock/scheduler/hash";

/** Copies of each fact. */
export const COPIES = 2;
/** Spreads the bits of a key's hash; an odd number near 2^32 / phi. */
const KEY_FACTOR = 0x9e3779b1;

/** What the place of a fact depends on. */
export interface KeeperPlace {
  readonly vmId: string;
  readonly failureDomain: string;
}

/** Ranks a list of keepers for keys. */
export class KeeperRanking<Keeper extends KeeperPlace> {
  readonly #keepers: readonly {
    readonly keeper: Keeper;
    readonly hash: number;
  }[];

  constructor(keepers: readonly Keeper[]) {
    this.#keepers = keepers
      .map((keeper) => ({ keeper, hash: computeHash(keeper.vmId) }));
  }

  /** Sorts the keepers by their rank for a key, the first one first. */
  sort(key: string): Keeper[] {
    const keyHash = computeHash(key);
    return this.#keepers
      .map(({ keeper, hash }) => ({ keeper, rank: computeRank(hash, keyHash) }))
      .sort((left, right) => right.rank - left.rank)
      .map(({ keeper }) => keeper);
  }

  /** Whether a keeper holds a copy of a key's facts. */
  isHolder(key: string, vmId: string): boolean {
    const keyHash = computeHash(key);
    const first = this.#findBest(keyHash);
    if (first === undefined || first.vmId === vmId) return first !== undefined;
    const second = this.#findBest(keyHash, first) ??
      chooseKeepers(this.sort(key), COPIES)[1];
    return second?.vmId === vmId;
  }

  /** Finds the best ranked keeper; in another failure domain than `first`. */
  #findBest(keyHash: number, first?: Keeper): Keeper | undefined {
    let best: Keeper | undefined;
    let bestRank = -1;
    for (const { keeper, hash } of this.#keepers) {
      if (keeper.failureDomain === first?.failureDomain) continue;
      const rank = computeRank(hash, keyHash);
      if (rank <= bestRank) continue;
      best = keeper;
      bestRank = rank;
    }
    return best;
  }
}

/** Chooses the first ranked keepers, in different failure domains if possible. */
export function chooseKeepers<Keeper extends KeeperPlace>(
  ranked: readonly Keeper[],
  count: number,
): Keeper[] {
  const domains = new Set<string>();
  const apart = ranked.filter(({ failureDomain }) => {
    const isNew = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isNew;
  });
  const others = ranked.filter((keeper) => !apart.includes(keeper));
  return [...apart, ...others].slice(0, count);
}

function computeRank(keeperHash: number, keyHash: number): number {
  return computeMixedHash(keeperHash ^ Math.imul(keyHash, KEY_FACTOR));
}

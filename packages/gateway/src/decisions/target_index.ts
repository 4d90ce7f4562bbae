/**
 * The targets of one service, in an order that all gateways share, so that a
 * choice looks at a few of them instead of all.
 *
 * Made for 12,000 targets: a change costs a binary search and a move of the
 * entries behind it, a look-up only the entries that it returns.
 */
import { computeHash, computeMixedHash } from "@camphorlock/scheduler/hash";
import type { Target } from "../model/target.ts";

/**
 * Entries among which a key is ranked: all of a small service, and of a large
 * one enough to even out the gaps between the hashes.
 */
const RANKED_ENTRIES = 32;

interface Indexed {
  readonly target: Target;
}

/** The targets of one service. */
export class TargetIndex<Entry extends Indexed> {
  readonly #entries: Entry[] = [];
  /** Hash of the id of each entry, ascending. */
  readonly #hashes: number[] = [];
  readonly #byDomain = new Map<string, Entry[]>();
  #revision = 0;

  /** All targets, in the shared order. */
  get entries(): readonly Entry[] {
    return this.#entries;
  }

  /** Changes with each added or removed target. */
  get revision(): number {
    return this.#revision;
  }

  /** The failure domains, with their targets. */
  get domains(): ReadonlyMap<string, readonly Entry[]> {
    return this.#byDomain;
  }

  add(entry: Entry): void {
    const hash = computeHash(entry.target.id);
    const at = this.#findPosition(hash);
    this.#entries.splice(at, 0, entry);
    this.#hashes.splice(at, 0, hash);
    const { failureDomain } = entry.target;
    const near = this.#byDomain.get(failureDomain) ?? [];
    near.push(entry);
    this.#byDomain.set(failureDomain, near);
    this.#revision += 1;
  }

  remove(entry: Entry): void {
    const at = this.#findPosition(computeHash(entry.target.id));
    const position = this.#entries.indexOf(entry, at);
    if (position < 0) return;
    this.#entries.splice(position, 1);
    this.#hashes.splice(position, 1);
    this.#revision += 1;
    for (const [domain, near] of this.#byDomain) {
      const index = near.indexOf(entry);
      if (index < 0) continue;
      near.splice(index, 1);
      if (near.length === 0) this.#byDomain.delete(domain);
      return;
    }
  }

  /**
   * Lists the targets that rank first for a key. All gateways get the same ones
   * by rendezvous hashing among the neighbours of the key's hash, and most of
   * them stay the same when a target is added or removed.
   */
  listRanked(key: string, count: number): Entry[] {
    const hash = computeHash(key);
    const size = this.#entries.length;
    const start = size > RANKED_ENTRIES ? this.#findPosition(hash) : 0;
    const ranked: { entry: Entry; rank: number }[] = [];
    for (let step = 0; step < Math.min(size, RANKED_ENTRIES); step += 1) {
      const at = (start + step) % size;
      const entry = this.#entries[at];
      if (entry === undefined) continue;
      const rank = computeMixedHash(hash ^ (this.#hashes[at] ?? 0));
      ranked.push({ entry, rank });
    }
    return ranked.sort((left, right) => right.rank - left.rank)
      .slice(0, count)
      .map(({ entry }) => entry);
  }

  /** Finds the first position whose hash isn't below the given one. */
  #findPosition(hash: number): number {
    let low = 0;
    let high = this.#hashes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#hashes[middle] ?? 0) < hash) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

/**
 * The incarnations of targets that have ended, as far as any gateway saw it.
 *
 * A target may start again under its id and address, with another software
 * version, and its entry says so only some seconds later. Until then nothing
 * that the entry says of a version may be relied on.
 */
import { BoundedMap } from "../model/bounded_map.ts";
import type { Target } from "../model/target.ts";
import { getIncarnation } from "./target_table.ts";

const MAX_ENDED = 4_096;

/** The ended incarnations. */
export class EndedTargets {
  readonly #ended = new BoundedMap<string, true>(MAX_ENDED);

  record(incarnation: string): void {
    this.#ended.set(incarnation, true);
  }

  /** Takes an end back, since the incarnation has answered since. */
  remove(target: Target): void {
    this.#ended.remove(getIncarnation(target));
  }

  has(target: Target): boolean {
    return this.#ended.has(getIncarnation(target));
  }
}

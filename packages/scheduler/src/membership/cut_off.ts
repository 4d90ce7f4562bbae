/**
 * Judges whether this node is cut off from most of the others.
 */
import type { NodeRecord } from "./node_table.ts";

/** For how long most of the other nodes have been out of reach. */
export class Reach {
  readonly #cutOffAfterMs: number;
  #sinceMs: number | undefined;

  constructor(cutOffAfterMs: number) {
    this.#cutOffAfterMs = cutOffAfterMs;
  }

  /** Looks at the nodes as they are now. */
  update(records: Iterable<NodeRecord>, nowMs: number): void {
    const window = { nowMs, lengthMs: this.#cutOffAfterMs };
    if (isMostlyUnreachable(records, window)) this.#sinceMs ??= nowMs;
    else this.#sinceMs = undefined;
  }

  /** Whether it has lasted for the time that counts as cut off. */
  isCutOff(nowMs: number): boolean {
    if (this.#sinceMs === undefined) return false;
    return nowMs - this.#sinceMs >= this.#cutOffAfterMs;
  }
}

/**
 * Checks whether fewer than half of the known nodes, this one included, are in
 * reach: either most of them count as dead, or most of those that this node
 * contacted within the window were not heard since.
 */
function isMostlyUnreachable(
  records: Iterable<NodeRecord>,
  window: { nowMs: number; lengthMs: number },
): boolean {
  const sinceMs = window.nowMs - window.lengthMs;
  let known = 1;
  let living = 1;
  let tried = 1;
  let heard = 1;
  for (const record of records) {
    const { state } = record.digest;
    known += 1;
    if (state === "alive" || state === "leaving") living += 1;
    if (record.contactedAtMs < Math.max(sinceMs, 0)) continue;
    tried += 1;
    if (record.heardAtMs >= sinceMs) heard += 1;
  }
  return living * 2 < known || heard * 2 < tried;
}

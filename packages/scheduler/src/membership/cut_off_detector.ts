/**
 * Detects that this node is cut off from most of the other nodes.
 */
import type { NodeRecord } from "./node_table.ts";

/** Measures for how long most other nodes have been unreachable. */
export class CutOffDetector {
  readonly #cutOffAfterMs: number;
  #unreachableSinceMs: number | undefined;

  constructor(cutOffAfterMs: number) {
    this.#cutOffAfterMs = cutOffAfterMs;
  }

  /** Updates the state from the current records of the other nodes. */
  update(records: Iterable<NodeRecord>, nowMs: number): void {
    const window = { nowMs, lengthMs: this.#cutOffAfterMs };
    if (isInMinority(records, window)) this.#unreachableSinceMs ??= nowMs;
    else this.#unreachableSinceMs = undefined;
  }

  /** Whether most nodes have been unreachable for at least the threshold. */
  isCutOff(nowMs: number): boolean {
    if (this.#unreachableSinceMs === undefined) return false;
    return nowMs - this.#unreachableSinceMs >= this.#cutOffAfterMs;
  }
}

/**
 * Whether fewer than half of the known nodes, this one included, are
 * reachable. This holds if most of them are suspect or dead, or if most of
 * those contacted within the window have sent nothing within the window.
 */
function isInMinority(
  records: Iterable<NodeRecord>,
  window: { nowMs: number; lengthMs: number },
): boolean {
  const sinceMs = window.nowMs - window.lengthMs;
  let known = 1;
  let living = 1;
  let contacted = 1;
  let responsive = 1;
  for (const record of records) {
    const { state } = record.digest;
    known += 1;
    if (state === "alive" || state === "leaving") living += 1;
    if (record.lastContactedAtMs < Math.max(sinceMs, 0)) continue;
    contacted += 1;
    if (record.lastReceivedAtMs >= sinceMs) responsive += 1;
  }
  return living * 2 < known || responsive * 2 < contacted;
}

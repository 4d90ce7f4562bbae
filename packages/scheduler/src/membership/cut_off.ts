/**
 * Judges whether this node is cut off from most of the others.
 */
import type { NodeState } from "@camphorlock/types";
import type { NodeRecord } from "./node_table.ts";

const LIVING: readonly NodeState[] = ["alive", "leaving"];

/**
 * Checks whether fewer than half of the known nodes, this one included, are in
 * reach: either most of them count as dead, or most of those that this node
 * contacted within the window were not heard since.
 */
export function isMostlyUnreachable(
  records: Iterable<NodeRecord>,
  window: { nowMs: number; lengthMs: number },
): boolean {
  const sinceMs = window.nowMs - window.lengthMs;
  let known = 1;
  let living = 1;
  let tried = 1;
  let heard = 1;
  for (const record of records) {
    known += 1;
    if (LIVING.includes(record.digest.state)) living += 1;
    if (record.contactedAtMs < Math.max(sinceMs, 0)) continue;
    tried += 1;
    if (record.heardAtMs >= sinceMs) heard += 1;
  }
  return living * 2 < known || heard * 2 < tried;
}

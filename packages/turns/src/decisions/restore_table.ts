/**
 * Fills the table of turns from what recovery read from the disk.
 */
import type { KeptTurn } from "../model/kept_turn.ts";
import type { TurnTable } from "./turn_table.ts";

/** A turn and the segment that holds its record. */
export interface RecoveredTurn {
  readonly turn: KeptTurn;
  readonly segment: number;
}

/**
 * Adds recovered turns, parents before children, and drops those that needn't
 * be kept. Returns the ids of turns whose ancestors are missing although they
 * must still be kept.
 */
export function restoreTable(
  table: TurnTable,
  recovered: readonly RecoveredTurn[],
  nowMs: number,
): string[] {
  const byId = new Map(recovered.map((each) => [each.turn.id, each]));
  const orphans: string[] = [];
  for (const { turn } of byId.values()) {
    if (addWithAncestors(table, byId, turn.id)) continue;
    if (turn.endedAtMs + turn.retentionMs > nowMs) orphans.push(turn.id);
  }
  table.removeExpired(nowMs);
  return orphans;
}

function addWithAncestors(
  table: TurnTable,
  byId: ReadonlyMap<string, RecoveredTurn>,
  id: string,
): boolean {
  const missing: RecoveredTurn[] = [];
  let next: string | undefined = id;
  while (next !== undefined && !table.has(next)) {
    const recovered: RecoveredTurn | undefined = byId.get(next);
    // A cycle can't be written, but a damaged file could hold one.
    if (recovered === undefined || missing.length > byId.size) return false;
    missing.push(recovered);
    next = recovered.turn.parentId;
  }
  for (const { turn, segment } of missing.reverse()) table.add(turn, segment);
  return true;
}

/**
 * Checks a turn store's folder offline: what it holds and what is damaged.
 */
import { type DiskIdentity, loadIdentity } from "./disk_identity.ts";
import { restoreSegments } from "./restore_segments.ts";
import { readClock } from "./turn_records.ts";

/** One segment of a folder. */
export interface CheckedSegment {
  readonly number: number;
  readonly bytes: number;
  readonly turns: number;
}

/** The findings of an inspection. */
export interface FolderReport {
  readonly identity: DiskIdentity | undefined;
  readonly segments: readonly CheckedSegment[];
  /** Number of distinct turns. */
  readonly turns: number;
  /** Number of turns that start a chain. */
  readonly chains: number;
  /** Turns whose parent isn't in the folder. */
  readonly orphans: readonly string[];
  readonly damage: readonly string[];
  /** Bytes of an unfinished last write. */
  readonly unfinishedBytes: number;
}

/** Inspects a folder without changing it. Rejects when it can't be read. */
export async function checkFolder(folder: string): Promise<FolderReport> {
  const { segments, damage, discardedBytes } = await restoreSegments(folder, {
    clock: readClock(),
    isSealing: false,
  });
  const byId = new Map(
    segments.flatMap(({ turns }) => turns.map((turn) => [turn.id, turn])),
  );
  const turns = [...byId.values()];
  return {
    identity: await loadIdentity(folder),
    segments: segments.map((segment) => ({
      ...segment,
      turns: segment.turns.length,
    })),
    turns: turns.length,
    chains: turns.filter(({ parentId }) => parentId === undefined).length,
    orphans: turns
      .filter(({ parentId }) => parentId !== undefined && !byId.has(parentId))
      .map(({ id }) => id),
    damage,
    unfinishedBytes: discardedBytes,
  };
}

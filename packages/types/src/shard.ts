/**
 * The mapping of programs to shards.
 *
 * A program's id contains its shard, so that every node finds the shard without
 * a look-up and an entry VM can choose a shard whose owner is alive.
 */
import type { ProgramId, ShardId } from "./ids.ts";

const SHARD_DIGITS = 4;

/** Formats a program id from its shard and a unique suffix. */
export function formatProgramId(shard: ShardId, suffix: string): ProgramId {
  const digits = shard.toString(36).padStart(SHARD_DIGITS, "0");
  return `p${digits}-${suffix}`;
}

/**
 * Parses the shard of a program id.
 *
 * Returns `undefined` if the text isn't a program id.
 */
export function parseShardOf(programId: ProgramId): ShardId | undefined {
  const match = /^p([0-9a-z]{4})-[0-9a-z]+$/.exec(programId);
  if (match === null) return undefined;
  return Number.parseInt(match[1] ?? "", 36);
}

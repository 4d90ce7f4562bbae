/**
 * Assigns to each program the gateway process that grants its first allowance.
 *
 * Programs are divided into shards by a hash of their id. One object of the
 * store names a process for each shard. The object changes by conditional
 * writes, so a shard has one holder at any revision. The table is global, since
 * the requests of a program may arrive in several regions.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import { err, ok, type Result } from "neverthrow";

/** Total number of shards; several per gateway of a large installation. */
export const SHARD_COUNT = 1_024;

/** A process that holds shards. */
export interface ShardHolder {
  readonly vmId: string;
  /** Changes with each start of the process. */
  readonly bootId: string;
  /** Whether an earlier holder may have granted unreported allowances. */
  readonly isDoubtful: boolean;
  /**
   * Whether all holders recorded on disks what they granted. Builds that don't
   * record their grants drop this field from every entry that they write.
   */
  readonly isRecorded?: boolean;
  /** Whether an earlier holder may still run, and grant until its table ages. */
  readonly mayHaveSilentHolder?: boolean;
}

/** A process that may hold shards. */
export interface HolderCandidate {
  readonly vmId: string;
  readonly bootId: string;
  /** Whether the process records on disks what it grants. */
  readonly recordsGrants: boolean;
}

/** How a holder was lost: surely ended, or only silent for a long time. */
export type HolderLoss = "ended" | "silent";

/** The holder of each shard, indexed by shard. */
export type ShardTable = readonly ShardHolder[];

/** The table as stored and sent: distinct holders, and an index per shard. */
export interface EncodedShardTable {
  readonly holders: readonly ShardHolder[];
  readonly shards: readonly number[];
}

/** Gets the shard of a program. */
export function getShard(programId: string): number {
  return computeHash(programId) % SHARD_COUNT;
}

/** Divides all shards among processes, before any process has held one. */
export function buildShardTable(
  processes: readonly HolderCandidate[],
): ShardTable {
  return Array.from({ length: SHARD_COUNT }, (_, shard) => {
    const { vmId, bootId, recordsGrants } = placeShard(shard, processes);
    return {
      vmId,
      bootId,
      isDoubtful: false,
      isRecorded: recordsGrants,
      mayHaveSilentHolder: false,
    };
  });
}

/**
 * Reassigns the shards of processes that were lost; undefined if none of them
 * holds a shard or no other process is left.
 */
export function updateLostHolders(
  table: ShardTable,
  processes: readonly HolderCandidate[],
  findLoss: (holder: ShardHolder) => HolderLoss | undefined,
): ShardTable | undefined {
  if (processes.length === 0 || !table.some(findLoss)) return undefined;
  return table.map((holder, shard) => {
    const loss = findLoss(holder);
    if (loss === undefined) return holder;
    const { vmId, bootId, recordsGrants } = placeShard(shard, processes);
    return {
      vmId,
      bootId,
      isDoubtful: true,
      isRecorded: holder.isRecorded === true && recordsGrants,
      mayHaveSilentHolder: holder.mayHaveSilentHolder === true ||
        loss === "silent",
    };
  });
}

/** Transfers the shards of a process to another that received its grants. */
export function updateHolder(
  table: ShardTable,
  fromBootId: string,
  { vmId, bootId, recordsGrants }: HolderCandidate,
): ShardTable {
  return table.map((holder) =>
    holder.bootId === fromBootId
      ? {
        ...holder,
        vmId,
        bootId,
        isRecorded: holder.isRecorded === true && recordsGrants,
      }
      : holder
  );
}

/** Marks the shards of a process whose grants have all been recorded. */
export function setRecorded(
  table: ShardTable,
  bootId: string,
  hasRecorded: (shard: number) => boolean,
): ShardTable | undefined {
  const isDue = (holder: ShardHolder, shard: number): boolean =>
    holder.bootId === bootId && holder.isRecorded !== true &&
    hasRecorded(shard);
  if (!table.some(isDue)) return undefined;
  return table.map((holder, shard) =>
    isDue(holder, shard) ? { ...holder, isRecorded: true } : holder
  );
}

export function encodeShardTable(table: ShardTable): EncodedShardTable {
  const indexes = new Map<string, number>();
  const holders: ShardHolder[] = [];
  const shards = table.map((holder) => {
    const { bootId, isDoubtful, isRecorded, mayHaveSilentHolder } = holder;
    const key = [bootId, isDoubtful, isRecorded, mayHaveSilentHolder].join(" ");
    const index = indexes.get(key) ?? holders.push(holder) - 1;
    indexes.set(key, index);
    return index;
  });
  return { holders, shards };
}

/** Decodes a table; the error states what is wrong with it. */
export function decodeShardTable(value: unknown): Result<ShardTable, string> {
  const { holders, shards } = (value ?? {}) as Partial<EncodedShardTable>;
  if (!Array.isArray(holders) || !Array.isArray(shards)) {
    return err("the list of holders or shards is missing");
  }
  if (shards.length !== SHARD_COUNT) {
    return err(`wrong number of shards: ${shards.length}`);
  }
  const table: ShardHolder[] = [];
  for (const index of shards) {
    const holder = holders[index as number] as Partial<ShardHolder> | undefined;
    const { vmId, bootId, isDoubtful, isRecorded, mayHaveSilentHolder } =
      holder ?? {};
    if (typeof vmId !== "string" || typeof bootId !== "string") {
      return err(`the holder at index ${String(index)} is missing or invalid`);
    }
    table.push({
      vmId,
      bootId,
      isDoubtful: isDoubtful !== false,
      isRecorded: isRecorded === true,
      mayHaveSilentHolder: mayHaveSilentHolder === true,
    });
  }
  return ok(table);
}

function placeShard(
  shard: number,
  processes: readonly HolderCandidate[],
): HolderCandidate {
  let best = processes[0];
  let bestRank = -1;
  for (const each of processes) {
    const rank = computeHash(`${each.vmId}|shard|${shard}`);
    if (rank > bestRank) [best, bestRank] = [each, rank];
  }
  if (best === undefined) throw new Error("no process to hold a shard");
  return best;
}

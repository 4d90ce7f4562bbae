/**
 * The cached state of the groups of shards stored on the platform.
 */
import type { PlatformKey, ShardId } from "@camphorlock/types";
import { parseGroupKey } from "./group_codec.ts";
import type { StoredShard } from "./messages.ts";
import type { AssignmentSettings } from "./settings.ts";

/** One group as last read from the platform or written to it. */
export interface GroupState {
  readonly group: number;
  readonly shardIds: readonly ShardId[];
  /** The stored version: zero when absent, `undefined` if never read. */
  version: number | undefined;
  stored: Map<ShardId, StoredShard>;
  /** When the platform last confirmed the stored state. */
  confirmedAtMs: number;
  /** When to read the group again; `undefined` if no read is due. */
  nextReadMs: number | undefined;
  /** Whether a read or a write is in flight. */
  isCallInFlight: boolean;
  /** Since when shards of the group have lacked an owner. */
  unownedSinceMs: number | undefined;
  /** Whether the group needs no check until something changes. */
  isSettled: boolean;
  /** End of the back-off after a conflict; nothing is proposed before it. */
  proposeAfterMs: number;
  /** Conflicts since the last successful write. */
  conflicts: number;
}

/** The cached state of every group of an installation. */
export class GroupTable {
  readonly #groups: readonly GroupState[];
  readonly #groupSize: number;

  constructor(settings: AssignmentSettings) {
    const { shardCount, groupSize } = settings;
    this.#groupSize = groupSize;
    const length = Math.ceil(shardCount / groupSize);
    this.#groups = Array.from(
      { length },
      (_, group) => createGroupState(group, { shardCount, groupSize }),
    );
  }

  list(): readonly GroupState[] {
    return this.#groups;
  }

  /** Finds a group by number. */
  find(group: number): GroupState | undefined {
    return this.#groups[group];
  }

  /** Finds the group that holds a shard. */
  findByShard(shard: ShardId): GroupState | undefined {
    return this.#groups[Math.floor(shard / this.#groupSize)];
  }

  /** Marks all groups for another check. */
  setAllUnsettled(): void {
    for (const state of this.#groups) state.isSettled = false;
  }

  /** Marks the group of a shard for another check. */
  setShardUnsettled(shard: ShardId): void {
    const state = this.findByShard(shard);
    if (state !== undefined) state.isSettled = false;
  }

  /** Schedules a read of each group whose stored version is newer. */
  applyVersions(keys: readonly PlatformKey[], atMs: number): void {
    for (const { key, version } of keys) {
      const group = parseGroupKey(key);
      const state = group === undefined ? undefined : this.find(group);
      if (state === undefined) continue;
      if (state.version !== undefined && state.version >= version) continue;
      state.nextReadMs ??= atMs;
    }
  }

  /** Records as absent each unread group that a complete list lacks. */
  applyAbsentGroups(keys: readonly PlatformKey[], nowMs: number): void {
    const listed = new Set(keys.map(({ key }) => parseGroupKey(key)));
    for (const state of this.#groups) {
      if (listed.has(state.group) || state.version !== undefined) continue;
      state.version = 0;
      state.confirmedAtMs = nowMs;
    }
  }
}

function createGroupState(
  group: number,
  shape: { shardCount: number; groupSize: number },
): GroupState {
  const first = group * shape.groupSize;
  const length = Math.min(shape.groupSize, shape.shardCount - first);
  return {
    group,
    shardIds: Array.from({ length }, (_, index) => first + index),
    version: undefined,
    stored: new Map(),
    confirmedAtMs: 0,
    nextReadMs: undefined,
    isCallInFlight: false,
    unownedSinceMs: undefined,
    isSettled: false,
    proposeAfterMs: 0,
    conflicts: 0,
  };
}

/**
 * What this node knows of the stored groups of shards.
 */
import type { PlatformKey, ShardId } from "@camphorlock/types";
import { parseGroupKey } from "./group_codec.ts";
import type { StoredShard } from "./messages.ts";
import type { AssignmentSettings } from "./settings.ts";

/** One group as last read from the platform or written to it. */
export interface GroupState {
  readonly group: number;
  readonly shardIds: readonly ShardId[];
  /** The stored version, zero when absent; `undefined` before it's known. */
  version: number | undefined;
  stored: Map<ShardId, StoredShard>;
  /** When the stored state was last learnt from the platform. */
  learntAtMs: number;
  /** When to read it again; `undefined` when there's no reason to. */
  readAtMs: number | undefined;
  /** Whether a read or a write waits for its answer. */
  busy: boolean;
  /** Since when shards have needed an owner. */
  needSinceMs: number | undefined;
  /** Whether nothing is to be done until something changes. */
  isSettled: boolean;
  /** Before this time nothing is proposed, after a conflict. */
  proposeAtMs: number;
  /** Conflicts since the last write that took effect. */
  conflicts: number;
}

/** Every group of an installation. */
export class GroupBook {
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

  /** Lists all groups. */
  list(): readonly GroupState[] {
    return this.#groups;
  }

  /** Finds a group by number. */
  find(group: number): GroupState | undefined {
    return this.#groups[group];
  }

  /** Finds the group that holds a shard. */
  findOf(shard: ShardId): GroupState | undefined {
    return this.#groups[Math.floor(shard / this.#groupSize)];
  }

  /** Looks at all groups again. */
  setUnsettled(): void {
    for (const state of this.#groups) state.isSettled = false;
  }

  /** Looks at the group of a shard again. */
  setUnsettledOf(shard: ShardId): void {
    const state = this.findOf(shard);
    if (state !== undefined) state.isSettled = false;
  }

  /** Asks for a read, from a time on, of the groups that have changed. */
  applyKeys(keys: readonly PlatformKey[], atMs: number): void {
    for (const { key, version } of keys) {
      const group = parseGroupKey(key);
      const state = group === undefined ? undefined : this.find(group);
      if (state === undefined) continue;
      if (state.version !== undefined && state.version >= version) continue;
      state.readAtMs ??= atMs;
    }
  }

  /** Takes the groups that a full list doesn't name as absent. */
  applyAbsent(keys: readonly PlatformKey[], nowMs: number): void {
    const listed = new Set(keys.map(({ key }) => parseGroupKey(key)));
    for (const state of this.#groups) {
      if (listed.has(state.group) || state.version !== undefined) continue;
      state.version = 0;
      state.learntAtMs = nowMs;
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
    learntAtMs: 0,
    readAtMs: undefined,
    busy: false,
    needSinceMs: undefined,
    isSettled: false,
    proposeAtMs: 0,
    conflicts: 0,
  };
}

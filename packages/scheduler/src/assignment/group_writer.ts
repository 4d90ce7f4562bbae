/**
 * Conditional updates of groups, and the back-off after conflicts.
 */
import type { Effect, NodeSpec, ShardAssignment } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import { encodeGroup, formatGroupKey } from "./group_codec.ts";
import type { GroupState } from "./group_table.ts";
import type { PlannedChange } from "./plan_group.ts";
import type { PendingCall, PlatformCalls } from "./platform_calls.ts";
import type { AssignmentSettings } from "./settings.ts";

/** A write in flight. */
export type WriteCall = Extract<PendingCall, { kind: "write" }>;

/** The dependencies of a writer. */
export interface GroupWriterDependencies {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly calls: PlatformCalls;
}

const MAX_EXPONENT = 8;

/** Builds the platform writes of one node. */
export class GroupWriter {
  readonly #dependencies: GroupWriterDependencies;

  constructor(dependencies: GroupWriterDependencies) {
    this.#dependencies = dependencies;
  }

  /** Builds an update of a group that is conditional on the version read. */
  buildWrite(
    state: GroupState,
    plan: { changes: readonly PlannedChange[]; nowMs: number },
  ): Effect {
    const shards = new Map(state.stored);
    const replaced: ShardAssignment[] = [];
    for (const { stored } of plan.changes) {
      const { shard } = stored.assignment;
      const replacedShard = shards.get(shard);
      if (replacedShard !== undefined) replaced.push(replacedShard.assignment);
      shards.set(shard, stored);
    }
    const { group } = state;
    const version = state.version ?? 0;
    const list = [...shards.values()];
    state.isCallInFlight = true;
    return this.#dependencies.calls.register(
      { kind: "write", group, shards: list, replaced },
      {
        request: {
          kind: "put",
          key: formatGroupKey(group),
          value: encodeGroup(list),
          condition: version === 0
            ? { kind: "absent" }
            : { kind: "version", version },
        },
        nowMs: plan.nowMs,
      },
    );
  }

  /** Records a conflict: schedules a read and starts the back-off. */
  recordConflict(state: GroupState, nowMs: number): void {
    const { self, settings } = this.#dependencies;
    const { conflictBaseMs, conflictLimitMs } = settings;
    state.conflicts += 1;
    state.nextReadMs = nowMs;
    const exponent = Math.min(state.conflicts, MAX_EXPONENT);
    const maxBackoffMs = Math.min(
      conflictBaseMs * 2 ** exponent,
      conflictLimitMs,
    );
    const key = `${self.vmId}|${state.group}|${state.conflicts}`;
    state.proposeAfterMs = nowMs + computeFraction(key) * maxBackoffMs;
  }
}

/** Lists the old and new owners and replicas of each shard that was written. */
export function listAffected(
  call: WriteCall,
  state: GroupState,
): { assignment: ShardAssignment; vmIds: Set<string> }[] {
  const replacedByShard = new Map(
    call.replaced.map((each) => [each.shard, each]),
  );
  const affected: { assignment: ShardAssignment; vmIds: Set<string> }[] = [];
  for (const { assignment } of call.shards) {
    const cached = state.stored.get(assignment.shard)?.assignment;
    if (cached?.epoch === assignment.epoch) continue;
    const previous = replacedByShard.get(assignment.shard);
    const vmIds = new Set([assignment.owner, ...assignment.keepers]);
    if (previous !== undefined) {
      vmIds.add(previous.owner);
      for (const replica of previous.keepers) vmIds.add(replica);
    }
    affected.push({ assignment, vmIds });
  }
  return affected;
}

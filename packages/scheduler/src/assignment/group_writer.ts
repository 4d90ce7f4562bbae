/**
 * Conditional updates of groups, and the waits after conflicts.
 */
import type { Effect, NodeSpec, ShardAssignment } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { GroupState } from "./group_book.ts";
import { encodeGroup, formatGroupKey } from "./group_codec.ts";
import type { PlannedChange } from "./plan_group.ts";
import type { OpenCall, PlatformCalls } from "./platform_calls.ts";
import type { AssignmentSettings } from "./settings.ts";

/** A write that waits for its answer. */
export type WriteCall = Extract<OpenCall, { kind: "write" }>;

/** What a writer is made of. */
export interface GroupWriterParts {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly calls: PlatformCalls;
}

const MAX_DOUBLINGS = 8;

/** The writes of one node. */
export class GroupWriter {
  readonly #parts: GroupWriterParts;

  constructor(parts: GroupWriterParts) {
    this.#parts = parts;
  }

  /** Builds the update of a group, on condition of the version last read. */
  write(
    state: GroupState,
    plan: { changes: readonly PlannedChange[]; nowMs: number },
  ): Effect {
    const shards = new Map(state.stored);
    const replaced: ShardAssignment[] = [];
    for (const { stored } of plan.changes) {
      const { shard } = stored.assignment;
      const former = shards.get(shard);
      if (former !== undefined) replaced.push(former.assignment);
      shards.set(shard, stored);
    }
    const { group } = state;
    const version = state.version ?? 0;
    const list = [...shards.values()];
    state.busy = true;
    return this.#parts.calls.open(
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

  /** Notes that another node's write came first: read, wait, then propose. */
  recordConflict(state: GroupState, nowMs: number): void {
    const { self, settings } = this.#parts;
    const { conflictBaseMs, conflictLimitMs } = settings;
    state.conflicts += 1;
    state.readAtMs = nowMs;
    const doublings = Math.min(state.conflicts, MAX_DOUBLINGS);
    const longestMs = Math.min(
      conflictBaseMs * 2 ** doublings,
      conflictLimitMs,
    );
    const key = `${self.vmId}|${state.group}|${state.conflicts}`;
    state.proposeAtMs = nowMs + computeFraction(key) * longestMs;
  }
}

/** Lists whom a stored write concerns, by shard. */
export function listConcerned(
  call: WriteCall,
  state: GroupState,
): { assignment: ShardAssignment; vmIds: Set<string> }[] {
  const former = new Map(call.replaced.map((each) => [each.shard, each]));
  const concerned: { assignment: ShardAssignment; vmIds: Set<string> }[] = [];
  for (const { assignment } of call.shards) {
    const known = state.stored.get(assignment.shard)?.assignment;
    if (known?.epoch === assignment.epoch) continue;
    const before = former.get(assignment.shard);
    const vmIds = new Set([assignment.owner, ...assignment.keepers]);
    if (before !== undefined) {
      vmIds.add(before.owner);
      for (const keeper of before.keepers) vmIds.add(keeper);
    }
    concerned.push({ assignment, vmIds });
  }
  return concerned;
}

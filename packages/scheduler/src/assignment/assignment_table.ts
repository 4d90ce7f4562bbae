/**
 * The highest-epoch assignment received for each shard, and the shards that
 * this process owns.
 *
 * Updates from other nodes locate owners. Only the platform's stored state can
 * start this process's ownership of a shard; an update can only end it.
 */
import type { NodeSpec, ShardAssignment, ShardId } from "@camphorlock/types";
import type { OwnerLoads } from "./choose_nodes.ts";
import type { Fleet } from "./fleet.ts";
import type { AssignmentNotice, StoredShard } from "./messages.ts";

/** The assignments that one node has cached. */
export class AssignmentTable {
  readonly #self: NodeSpec;
  readonly #latest = new Map<ShardId, ShardAssignment>();
  readonly #owned = new Map<ShardId, ShardAssignment>();

  constructor(self: NodeSpec) {
    this.#self = self;
  }

  /** Finds the highest-epoch assignment received for a shard. */
  find(shard: ShardId): ShardAssignment | undefined {
    return this.#latest.get(shard);
  }

  /** Finds the assignment under which this process owns a shard. */
  findOwned(shard: ShardId): ShardAssignment | undefined {
    return this.#owned.get(shard);
  }

  /** Lists the assignments under which this process owns shards. */
  listOwned(): ShardAssignment[] {
    return [...this.#owned.values()];
  }

  /** Whether an assignment names this process, by incarnation, as the owner. */
  isOwn(assignment: ShardAssignment): boolean {
    return assignment.owner === this.#self.vmId &&
      assignment.ownerIncarnation === this.#self.incarnation;
  }

  /** Whether an assignment has a higher epoch than the cached one. */
  isNewer(assignment: ShardAssignment): boolean {
    const latest = this.#latest.get(assignment.shard);
    return latest === undefined || assignment.epoch > latest.epoch;
  }

  /** Applies an assignment from another node. It can't start ownership. */
  applyUpdate(assignment: ShardAssignment): AssignmentNotice[] {
    if (!this.isNewer(assignment)) return [];
    this.#latest.set(assignment.shard, assignment);
    const notices: AssignmentNotice[] = [{ kind: "changed", assignment }];
    if (!this.isOwn(assignment)) this.#removeOwned(assignment, notices);
    return notices;
  }

  /** Applies an assignment stored on the platform. It can start ownership. */
  applyStored(stored: StoredShard): AssignmentNotice[] {
    const { assignment, predecessors } = stored;
    const notices = this.applyUpdate(assignment);
    const latest = this.#latest.get(assignment.shard);
    if (latest?.epoch !== assignment.epoch || !this.isOwn(assignment)) {
      return notices;
    }
    const owned = this.#owned.get(assignment.shard);
    if (owned !== undefined && owned.epoch >= assignment.epoch) return notices;
    this.#owned.set(assignment.shard, assignment);
    notices.push(
      owned === undefined
        ? buildGainedNotice(assignment, predecessors)
        : { kind: "keepers_changed", assignment, predecessors },
    );
    return notices;
  }

  /** Counts the shards owned by each present node. */
  countLoads(fleet: Fleet): OwnerLoads {
    const loads: OwnerLoads = new Map();
    for (const assignment of this.#latest.values()) {
      if (fleet.getOwnerStatus(assignment) !== "present") continue;
      const { owner } = assignment;
      loads.set(owner, (loads.get(owner) ?? 0) + 1);
    }
    return loads;
  }

  #removeOwned(
    successor: ShardAssignment,
    notices: AssignmentNotice[],
  ): void {
    const { shard } = successor;
    const owned = this.#owned.get(shard);
    if (owned === undefined) return;
    this.#owned.delete(shard);
    notices.push({ kind: "lost", shard, epoch: owned.epoch });
  }
}

function buildGainedNotice(
  assignment: ShardAssignment,
  predecessors: readonly ShardAssignment[],
): AssignmentNotice {
  const [previous] = predecessors;
  return previous === undefined
    ? { kind: "gained", assignment, predecessors }
    : { kind: "gained", assignment, previous, predecessors };
}

/**
 * The highest assignment known of each shard, and what this process owns.
 *
 * News from other nodes serve to find owners. Ownership by this process comes
 * from the platform only; news can end it, but not begin it.
 */
import type { NodeSpec, ShardAssignment, ShardId } from "@camphorlock/types";
import type { OwnerLoads } from "./choose_nodes.ts";
import type { Fleet } from "./fleet.ts";
import type { AssignmentNotice, StoredShard } from "./messages.ts";

/** The assignments known to one node. */
export class AssignmentTable {
  readonly #self: NodeSpec;
  readonly #known = new Map<ShardId, ShardAssignment>();
  readonly #owned = new Map<ShardId, ShardAssignment>();

  constructor(self: NodeSpec) {
    this.#self = self;
  }

  /** Finds the highest assignment known of a shard. */
  find(shard: ShardId): ShardAssignment | undefined {
    return this.#known.get(shard);
  }

  /** Finds the assignment under which this process owns a shard. */
  findOwned(shard: ShardId): ShardAssignment | undefined {
    return this.#owned.get(shard);
  }

  /** Lists what this process owns. */
  listOwned(): ShardAssignment[] {
    return [...this.#owned.values()];
  }

  /** Whether an assignment names this very process as the owner. */
  isOwn(assignment: ShardAssignment): boolean {
    return assignment.owner === this.#self.vmId &&
      assignment.ownerIncarnation === this.#self.incarnation;
  }

  /** Whether an assignment is newer than the one known. */
  isNews(assignment: ShardAssignment): boolean {
    const known = this.#known.get(assignment.shard);
    return known === undefined || assignment.epoch > known.epoch;
  }

  /** Applies what another node says. */
  applyNews(assignment: ShardAssignment): AssignmentNotice[] {
    if (!this.isNews(assignment)) return [];
    this.#known.set(assignment.shard, assignment);
    const notices: AssignmentNotice[] = [{ kind: "changed", assignment }];
    if (!this.isOwn(assignment)) this.#removeOwned(assignment, notices);
    return notices;
  }

  /** Applies what the platform holds. */
  applyStored(stored: StoredShard): AssignmentNotice[] {
    const { assignment, predecessors } = stored;
    const notices = this.applyNews(assignment);
    const known = this.#known.get(assignment.shard);
    if (known?.epoch !== assignment.epoch || !this.isOwn(assignment)) {
      return notices;
    }
    const owned = this.#owned.get(assignment.shard);
    if (owned !== undefined && owned.epoch >= assignment.epoch) return notices;
    this.#owned.set(assignment.shard, assignment);
    notices.push(
      owned === undefined
        ? buildGained(assignment, predecessors)
        : { kind: "keepers_changed", assignment, predecessors },
    );
    return notices;
  }

  /** Counts the shards of each node that is present. */
  countLoads(fleet: Fleet): OwnerLoads {
    const loads: OwnerLoads = new Map();
    for (const assignment of this.#known.values()) {
      if (fleet.getOwnerStanding(assignment) !== "present") continue;
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

function buildGained(
  assignment: ShardAssignment,
  predecessors: readonly ShardAssignment[],
): AssignmentNotice {
  const [previous] = predecessors;
  return previous === undefined
    ? { kind: "gained", assignment, predecessors }
    : { kind: "gained", assignment, previous, predecessors };
}

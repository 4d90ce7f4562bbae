/**
 * Gossip of assignments: each is sent to random nodes for a bounded number of
 * rounds.
 */
import type {
  Effect,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { RandomChooser } from "../membership/random.ts";
import type { AssignmentSettings } from "./settings.ts";

interface QueuedUpdate {
  readonly assignment: ShardAssignment;
  roundsLeft: number;
}

/** The assignments that this node still has to forward. */
export class UpdateQueue {
  readonly #settings: AssignmentSettings;
  readonly #random: RandomChooser;
  readonly #updates = new Map<ShardId, QueuedUpdate>();
  readonly #direct = new Map<VmId, Map<ShardId, ShardAssignment>>();

  constructor(settings: AssignmentSettings, random: RandomChooser) {
    this.#settings = settings;
    this.#random = random;
  }

  /** Queues an assignment for random nodes, replacing any of the same shard. */
  add(assignment: ShardAssignment): void {
    const { updateRounds } = this.#settings;
    const update = { assignment, roundsLeft: updateRounds };
    this.#updates.set(assignment.shard, update);
  }

  /** Queues an assignment for one node that it affects. */
  addDirect(to: VmId, assignment: ShardAssignment): void {
    const assignments = this.#direct.get(to) ?? new Map();
    assignments.set(assignment.shard, assignment);
    this.#direct.set(to, assignments);
  }

  /** Whether no assignments are queued. */
  isEmpty(): boolean {
    return this.#updates.size === 0 && this.#direct.size === 0;
  }

  /** Builds the messages of one round and removes finished entries. */
  takeMessages(others: readonly VmId[]): Effect[] {
    const effects: Effect[] = [];
    for (const [to, assignments] of this.#direct) {
      this.#appendMessages(effects, {
        to,
        assignments: [...assignments.values()],
      });
    }
    this.#direct.clear();
    if (this.#updates.size === 0) return effects;
    const assignments = this.#takeRound();
    const { updateFanout } = this.#settings;
    for (const to of this.#random.chooseSome(others, updateFanout)) {
      this.#appendMessages(effects, { to, assignments });
    }
    return effects;
  }

  #takeRound(): ShardAssignment[] {
    const assignments: ShardAssignment[] = [];
    for (const [shard, update] of this.#updates) {
      assignments.push(update.assignment);
      update.roundsLeft -= 1;
      if (update.roundsLeft <= 0) this.#updates.delete(shard);
    }
    return assignments;
  }

  #appendMessages(
    effects: Effect[],
    update: { to: VmId; assignments: readonly ShardAssignment[] },
  ): void {
    const { updateLimit } = this.#settings;
    for (let at = 0; at < update.assignments.length; at += updateLimit) {
      const assignments = update.assignments.slice(at, at + updateLimit);
      const message = { kind: "assignment_news", assignments } as const;
      effects.push({ kind: "send_peer", to: update.to, message });
    }
  }
}

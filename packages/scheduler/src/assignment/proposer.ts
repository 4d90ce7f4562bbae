/**
 * Decides when this node proposes changes of a group, and which changes.
 *
 * The live nodes are ordered for each group. The first places shards without an
 * owner; each further node does so only after a longer delay. Proposals are
 * based on a recent read, so that few of them conflict.
 */
import type { NodeSpec, ShardAssignment } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import type { GroupState } from "./group_table.ts";
import { NodeStatusTracker } from "./node_status.ts";
import type { PendingChanges } from "./pending_changes.ts";
import { buildPlan, type PlannedChange } from "./plan_group.ts";
import { computeRank } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";

/** The next action for a group. */
export type GroupDecision =
  | { readonly kind: "wait" }
  | { readonly kind: "read" }
  | {
    readonly kind: "propose";
    readonly changes: readonly PlannedChange[];
  };

/** The dependencies of a proposer. */
export interface ProposerDependencies {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly table: AssignmentTable;
  readonly pendingChanges: PendingChanges;
}

const WAIT: GroupDecision = { kind: "wait" };

/** Decides the proposals of one node. */
export class Proposer {
  readonly #dependencies: ProposerDependencies;
  readonly #statuses: NodeStatusTracker;
  readonly #ranks = new Map<number, number>();
  #fleet = new Fleet({ self: "", nodes: [] });

  constructor(dependencies: ProposerDependencies) {
    this.#dependencies = dependencies;
    this.#statuses = new NodeStatusTracker(dependencies.settings);
  }

  /** Gets the fleet of the latest membership view. */
  getFleet(): Fleet {
    return this.#fleet;
  }

  /** Sets the fleet of a new membership view. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    this.#ranks.clear();
    this.#statuses.update(fleet);
  }

  /** Chooses the next action for a group. */
  chooseProposal(state: GroupState, nowMs: number): GroupDecision {
    if (state.isSettled) return WAIT;
    const { shardIds } = state;
    const { pendingChanges } = this.#dependencies;
    const isTakeoverDue = this.#isTakeoverDue(state, nowMs);
    const hasOwned = this.#hasOwned(state);
    const hasPendingChanges = pendingChanges.hasAny(shardIds);
    const updatesReplicas = hasOwned && this.#isReplicaCheckDue(state, nowMs);
    if (!isTakeoverDue && !hasPendingChanges && !updatesReplicas) {
      state.isSettled = !hasOwned && state.unownedSinceMs === undefined &&
        !this.#hasUnknownOwner(state);
      return WAIT;
    }
    const changes = this.#plan(state, {
      takesOver: isTakeoverDue,
      updatesReplicas,
      nowMs,
    });
    if (changes.length > 0) return this.#chooseNext(state, { changes, nowMs });
    state.isSettled = updatesReplicas && !hasPendingChanges &&
      state.unownedSinceMs === undefined && !this.#hasUnknownOwner(state) &&
      this.#hasAllReplicas(state);
    return WAIT;
  }

  #chooseNext(
    state: GroupState,
    plan: { changes: readonly PlannedChange[]; nowMs: number },
  ): GroupDecision {
    const ageMs = plan.nowMs - state.confirmedAtMs;
    if (ageMs > this.#dependencies.settings.readTtlMs) return { kind: "read" };
    if (this.#isStale(state)) return { kind: "read" };
    return { kind: "propose", changes: plan.changes };
  }

  #plan(
    state: GroupState,
    allowed: { takesOver: boolean; updatesReplicas: boolean; nowMs: number },
  ): PlannedChange[] {
    const { self, settings, table, pendingChanges } = this.#dependencies;
    const { takesOver, updatesReplicas, nowMs } = allowed;
    const at = { fleet: this.#fleet, nowMs };
    const { shardIds, stored } = state;
    const isCandidate = this.#fleet.find(self.vmId)?.state === "alive";
    return buildPlan({
      self,
      fleet: this.#fleet,
      shardCount: settings.shardCount,
      shardIds,
      stored,
      loads: takesOver ? table.countLoads(this.#fleet) : new Map(),
      isOwnerEnded: (assignment) => this.#statuses.isOwnerEnded(assignment, at),
      isReplicaUnavailable: (vmId) =>
        this.#statuses.isReplicaUnavailable(vmId, at),
      takesOver,
      updatesReplicas,
      offers: isCandidate
        ? pendingChanges.listOffers(shardIds, nowMs)
        : new Map(),
      recovered: pendingChanges.listRecoveries(shardIds, nowMs),
    });
  }

  /** Whether shards lack an owner and this node's delay has passed. */
  #isTakeoverDue(state: GroupState, nowMs: number): boolean {
    const at = { fleet: this.#fleet, nowMs };
    const { table, settings } = this.#dependencies;
    const lacksOwner = state.shardIds.some((shard) => {
      const cached = table.find(shard);
      return cached === undefined || this.#statuses.isOwnerEnded(cached, at);
    });
    if (!lacksOwner) {
      state.unownedSinceMs = undefined;
      return false;
    }
    state.unownedSinceMs ??= nowMs;
    const rank = this.#getRank(state.group);
    if (rank < 0) return false;
    const delayMs = rank * settings.rankDelayMs +
      this.#computeSpread(state.group);
    return nowMs - state.unownedSinceMs >= delayMs;
  }

  #getRank(group: number): number {
    const cachedRank = this.#ranks.get(group);
    if (cachedRank !== undefined) return cachedRank;
    const rank = computeRank(`group|${group}`, {
      vmId: this.#dependencies.self.vmId,
      vmIds: this.#fleet.candidateIds,
    });
    this.#ranks.set(group, rank);
    return rank;
  }

  #computeSpread(group: number): number {
    const { self, settings } = this.#dependencies;
    const fraction = computeFraction(`${self.vmId}|spread|${group}`);
    return fraction * settings.proposalSpreadMs;
  }

  /** Owners check their replicas at different offsets to avoid conflicts. */
  #isReplicaCheckDue(state: GroupState, nowMs: number): boolean {
    const { self, settings } = this.#dependencies;
    const { replicaCheckPeriodMs, planPeriodMs } = settings;
    const fraction = computeFraction(`${self.vmId}|keepers|${state.group}`);
    const offsetMs = fraction * replicaCheckPeriodMs;
    return (nowMs + offsetMs) % replicaCheckPeriodMs < 2 * planPeriodMs;
  }

  #hasOwned(state: GroupState): boolean {
    const { table } = this.#dependencies;
    return state.shardIds.some((shard) => table.findOwned(shard) !== undefined);
  }

  /** Whether a cached assignment has a higher epoch than the group as read. */
  #isStale(state: GroupState): boolean {
    return state.shardIds.some((shard) => {
      const stored = state.stored.get(shard)?.assignment.epoch ?? 0;
      return (this.#dependencies.table.find(shard)?.epoch ?? 0) > stored;
    });
  }

  #hasUnknownOwner(state: GroupState): boolean {
    return state.shardIds.some((shard) => {
      const cached = this.#dependencies.table.find(shard);
      return cached === undefined ||
        this.#fleet.getOwnerStatus(cached) === "unknown";
    });
  }

  /** Whether every replica of this node's shards in the group is present. */
  #hasAllReplicas(state: GroupState): boolean {
    const hasReplicas = (owned: ShardAssignment): boolean =>
      owned.keepers.every((replica) =>
        this.#fleet.getReplicaStatus(replica) === "present"
      );
    return state.shardIds.every((shard) => {
      const owned = this.#dependencies.table.findOwned(shard);
      return owned === undefined || hasReplicas(owned);
    });
  }
}

/**
 * Decides when this node proposes which change of a group.
 */
import type { Epoch, NodeSpec, ShardId, VmId } from "@camphorlock/types";
import type { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import type { GroupState } from "./group_book.ts";
import { buildPlan, needsOwner, type PlannedChange } from "./plan_group.ts";
import { computeFraction, computeRank } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";
import { StandingTracker } from "./standing.ts";

interface TimedOffer {
  readonly from: VmId;
  readonly expiresAtMs: number;
}

interface Recovery {
  readonly epoch: Epoch;
  readonly atMs: number;
}

/** The proposals of one node. */
export class Proposer {
  readonly #self: NodeSpec;
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #standing: StandingTracker;
  readonly #offers = new Map<ShardId, TimedOffer>();
  readonly #recovered = new Map<ShardId, Recovery>();
  readonly #ranks = new Map<number, number>();
  #fleet = new Fleet({ self: "", nodes: [] });

  constructor(
    parts: {
      self: NodeSpec;
      settings: AssignmentSettings;
      table: AssignmentTable;
    },
  ) {
    this.#self = parts.self;
    this.#settings = parts.settings;
    this.#table = parts.table;
    this.#standing = new StandingTracker(parts.settings);
  }

  /** Gets the fleet as last told. */
  getFleet(): Fleet {
    return this.#fleet;
  }

  /** Takes a new view. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    this.#ranks.clear();
    this.#standing.update(fleet);
  }

  /** Notes an owner's offer of its shards to this node. */
  addOffer(
    from: VmId,
    offer: { shards: readonly ShardId[]; nowMs: number },
  ): void {
    const expiresAtMs = offer.nowMs + this.#settings.offerTimeoutMs;
    for (const shard of offer.shards) {
      this.#offers.set(shard, { from, expiresAtMs });
    }
  }

  /** Notes that this process holds all of a shard's former state. */
  addRecovered(shard: ShardId, recovery: Recovery): void {
    this.#recovered.set(shard, recovery);
  }

  /** Works out what this node proposes for a group at this time. */
  buildChanges(state: GroupState, nowMs: number): PlannedChange[] {
    const at = { fleet: this.#fleet, nowMs };
    const isOwnerGone = (
      assignment: Parameters<
        StandingTracker["isOwnerGone"]
      >[0],
    ): boolean => this.#standing.isOwnerGone(assignment, at);
    const takesOver = this.#isTurn(state, { isOwnerGone, nowMs });
    const lists = this.#listOffers(state, nowMs);
    const recovered = this.#listRecovered(state, nowMs);
    const owns = this.#ownsSome(state);
    if (!takesOver && !owns && lists.size === 0) return [];
    return buildPlan({
      self: this.#self,
      fleet: this.#fleet,
      shardCount: this.#settings.shardCount,
      shardIds: state.shardIds,
      stored: state.stored,
      loads: takesOver ? this.#table.countLoads(this.#fleet) : new Map(),
      isOwnerGone,
      isKeeperGone: (vmId) => this.#standing.isKeeperGone(vmId, at),
      takesOver,
      replacesKeepers: owns && this.#isKeeperTurn(state, nowMs),
      offers: lists,
      recovered,
    });
  }

  /** Whether this node's turn to place the group's shards has come. */
  #isTurn(
    state: GroupState,
    at: {
      isOwnerGone: Parameters<typeof needsOwner>[1];
      nowMs: number;
    },
  ): boolean {
    const needs = state.shardIds.some((shard) =>
      needsOwner(state.stored.get(shard), at.isOwnerGone)
    );
    if (!needs) {
      state.needSinceMs = undefined;
      return false;
    }
    state.needSinceMs ??= at.nowMs;
    const rank = this.#getRank(state.group);
    if (rank < 0) return false;
    const { backupDelayMs } = this.#settings;
    const delayMs = rank * backupDelayMs + this.#computeSpread(state.group);
    return at.nowMs - state.needSinceMs >= delayMs;
  }

  #getRank(group: number): number {
    const known = this.#ranks.get(group);
    if (known !== undefined) return known;
    const rank = computeRank(`group|${group}`, {
      vmId: this.#self.vmId,
      vmIds: this.#fleet.candidateIds,
    });
    this.#ranks.set(group, rank);
    return rank;
  }

  #computeSpread(group: number): number {
    const { proposalSpreadMs } = this.#settings;
    const key = `${this.#self.vmId}|spread|${group}`;
    return computeFraction(key) * proposalSpreadMs;
  }

  /** Owners look at their keepers in turns, so that they don't collide. */
  #isKeeperTurn(state: GroupState, nowMs: number): boolean {
    const { keeperSpreadMs, planPeriodMs } = this.#settings;
    const key = `${this.#self.vmId}|keepers|${state.group}`;
    const offsetMs = computeFraction(key) * keeperSpreadMs;
    return (nowMs + offsetMs) % keeperSpreadMs < planPeriodMs;
  }

  #ownsSome(state: GroupState): boolean {
    return state.shardIds.some((shard) =>
      this.#table.findOwned(shard) !== undefined
    );
  }

  #listOffers(state: GroupState, nowMs: number): Map<ShardId, VmId> {
    const offers = new Map<ShardId, VmId>();
    if (this.#fleet.find(this.#self.vmId)?.state !== "alive") return offers;
    for (const shard of state.shardIds) {
      const offer = this.#offers.get(shard);
      if (offer === undefined) continue;
      if (offer.expiresAtMs > nowMs) offers.set(shard, offer.from);
      else this.#offers.delete(shard);
    }
    return offers;
  }

  #listRecovered(state: GroupState, nowMs: number): Map<ShardId, Epoch> {
    const { recoveredDelayMs } = this.#settings;
    const recovered = new Map<ShardId, Epoch>();
    for (const shard of state.shardIds) {
      const recovery = this.#recovered.get(shard);
      if (recovery === undefined) continue;
      const owned = this.#table.findOwned(shard);
      if (owned?.epoch !== recovery.epoch) this.#recovered.delete(shard);
      else if (nowMs - recovery.atMs >= recoveredDelayMs) {
        recovered.set(shard, recovery.epoch);
      }
    }
    return recovered;
  }
}

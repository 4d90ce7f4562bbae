/**
 * Decides when this node proposes which change of a group.
 *
 * The living nodes are ordered for each group; the first of them places shards
 * without an owner, and each further one only after a longer wait. A proposal
 * is made on a fresh read, so that few of them fail.
 */
import type { NodeSpec, ShardAssignment } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { AssignmentTable } from "./assignment_table.ts";
import { Fleet } from "./fleet.ts";
import type { GroupState } from "./group_book.ts";
import type { PendingNotes } from "./pending_notes.ts";
import { buildPlan, type PlannedChange } from "./plan_group.ts";
import { computeRank } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";
import { StandingTracker } from "./standing.ts";

/** What is to be done about a group. */
export type GroupDecision =
  | { readonly kind: "wait" }
  | { readonly kind: "read" }
  | {
    readonly kind: "propose";
    readonly changes: readonly PlannedChange[];
  };

/** What a proposer is made of. */
export interface ProposerParts {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly table: AssignmentTable;
  readonly notes: PendingNotes;
}

const WAIT: GroupDecision = { kind: "wait" };

/** The proposals of one node. */
export class Proposer {
  readonly #parts: ProposerParts;
  readonly #standing: StandingTracker;
  readonly #ranks = new Map<number, number>();
  #fleet = new Fleet({ self: "", nodes: [] });

  constructor(parts: ProposerParts) {
    this.#parts = parts;
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

  /** Decides what to do about a group at this time. */
  chooseProposal(state: GroupState, nowMs: number): GroupDecision {
    if (state.isSettled) return WAIT;
    const { shardIds } = state;
    const { notes } = this.#parts;
    const takesOver = this.#isTurn(state, nowMs);
    const owns = this.#hasOwned(state);
    const hasNotes = notes.hasSome(shardIds);
    const replacesKeepers = owns && this.#isKeeperTurn(state, nowMs);
    if (!takesOver && !hasNotes && !replacesKeepers) {
      state.isSettled = !owns && state.needSinceMs === undefined &&
        !this.#hasUnknown(state);
      return WAIT;
    }
    const changes = this.#plan(state, { takesOver, replacesKeepers, nowMs });
    if (changes.length > 0) return this.#chooseFor(state, { changes, nowMs });
    state.isSettled = replacesKeepers && !hasNotes &&
      state.needSinceMs === undefined && !this.#hasUnknown(state) &&
      this.#hasKeepers(state);
    return WAIT;
  }

  #chooseFor(
    state: GroupState,
    plan: { changes: readonly PlannedChange[]; nowMs: number },
  ): GroupDecision {
    const ageMs = plan.nowMs - state.learntAtMs;
    if (ageMs > this.#parts.settings.freshMs) return { kind: "read" };
    if (this.#isOutdated(state)) return { kind: "read" };
    return { kind: "propose", changes: plan.changes };
  }

  #plan(
    state: GroupState,
    turn: { takesOver: boolean; replacesKeepers: boolean; nowMs: number },
  ): PlannedChange[] {
    const { self, settings, table, notes } = this.#parts;
    const { takesOver, replacesKeepers, nowMs } = turn;
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
      isOwnerGone: (assignment) => this.#standing.isOwnerGone(assignment, at),
      isKeeperGone: (vmId) => this.#standing.isKeeperGone(vmId, at),
      takesOver,
      replacesKeepers,
      offers: isCandidate ? notes.listOffers(shardIds, nowMs) : new Map(),
      recovered: notes.listRecovered(shardIds, nowMs),
    });
  }

  /** Whether this node's turn to place the group's shards has come. */
  #isTurn(state: GroupState, nowMs: number): boolean {
    const at = { fleet: this.#fleet, nowMs };
    const { table, settings } = this.#parts;
    const needs = state.shardIds.some((shard) => {
      const known = table.find(shard);
      return known === undefined || this.#standing.isOwnerGone(known, at);
    });
    if (!needs) {
      state.needSinceMs = undefined;
      return false;
    }
    state.needSinceMs ??= nowMs;
    const rank = this.#getRank(state.group);
    if (rank < 0) return false;
    const delayMs = rank * settings.backupDelayMs +
      this.#computeSpread(state.group);
    return nowMs - state.needSinceMs >= delayMs;
  }

  #getRank(group: number): number {
    const known = this.#ranks.get(group);
    if (known !== undefined) return known;
    const rank = computeRank(`group|${group}`, {
      vmId: this.#parts.self.vmId,
      vmIds: this.#fleet.candidateIds,
    });
    this.#ranks.set(group, rank);
    return rank;
  }

  #computeSpread(group: number): number {
    const { self, settings } = this.#parts;
    const fraction = computeFraction(`${self.vmId}|spread|${group}`);
    return fraction * settings.proposalSpreadMs;
  }

  /** Owners look at their keepers in turns, so that they don't collide. */
  #isKeeperTurn(state: GroupState, nowMs: number): boolean {
    const { self, settings } = this.#parts;
    const { keeperSpreadMs, planPeriodMs } = settings;
    const fraction = computeFraction(`${self.vmId}|keepers|${state.group}`);
    const offsetMs = fraction * keeperSpreadMs;
    return (nowMs + offsetMs) % keeperSpreadMs < 2 * planPeriodMs;
  }

  #hasOwned(state: GroupState): boolean {
    const { table } = this.#parts;
    return state.shardIds.some((shard) => table.findOwned(shard) !== undefined);
  }

  /** Whether news name a higher epoch than the stored state as last read. */
  #isOutdated(state: GroupState): boolean {
    return state.shardIds.some((shard) => {
      const stored = state.stored.get(shard)?.assignment.epoch ?? 0;
      return (this.#parts.table.find(shard)?.epoch ?? 0) > stored;
    });
  }

  #hasUnknown(state: GroupState): boolean {
    return state.shardIds.some((shard) => {
      const known = this.#parts.table.find(shard);
      return known === undefined ||
        this.#fleet.getOwnerStanding(known) === "unknown";
    });
  }

  /** Whether every keeper of this node's shards in the group is present. */
  #hasKeepers(state: GroupState): boolean {
    const isKept = (owned: ShardAssignment): boolean =>
      owned.keepers.every((keeper) =>
        this.#fleet.getKeeperStanding(keeper) === "present"
      );
    return state.shardIds.every((shard) => {
      const owned = this.#parts.table.findOwned(shard);
      return owned === undefined || isKept(owned);
    });
  }
}

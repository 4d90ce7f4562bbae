/**
 * Decides when this node offers its shards to others.
 */
import type { Effect, NodeSpec, ShardId } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { AssignmentTable } from "./assignment_table.ts";
import type { Fleet } from "./fleet.ts";
import {
  type Offer,
  type OfferContext,
  OfferTracker,
} from "./offer_tracker.ts";
import type { AssignmentSettings } from "./settings.ts";

/** The dependencies of a handover. */
export interface HandoverDependencies {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly table: AssignmentTable;
}

/** Schedules the offers of one node. */
export class Handover {
  readonly #dependencies: HandoverDependencies;
  readonly #offers: OfferTracker;
  /** Shards whose work a move would currently disrupt. */
  #busy: ReadonlySet<ShardId> = new Set();
  #isLeaving = false;
  #isCompleted = false;
  #nextRebalanceMs = 0;

  constructor(dependencies: HandoverDependencies) {
    this.#dependencies = dependencies;
    this.#offers = new OfferTracker(dependencies.settings);
  }

  /** Whether the node is leaving and offers all its shards. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Sets the shards that are offered only if the node leaves. */
  setBusy(shards: readonly ShardId[]): void {
    this.#busy = new Set(shards);
  }

  /** Starts to offer all shards. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /** Whether a leaving node owns no more shards; returns true only once. */
  takeCompletion(): boolean {
    if (!this.#isLeaving || this.#isCompleted) return false;
    if (this.#dependencies.table.listOwned().length > 0) return false;
    this.#isCompleted = true;
    return true;
  }

  /** Builds the offers that are due. */
  buildOffers(
    fleet: Fleet,
    at: { nowMs: number; canRebalance: boolean },
  ): Effect[] {
    const { nowMs, canRebalance } = at;
    if (this.#isLeaving) {
      const context = this.#buildContext(fleet, nowMs);
      return this.#offers.buildLeaving(context).map(buildEffect);
    }
    if (nowMs < this.#nextRebalanceMs || !canRebalance) return [];
    this.#setNextRebalance(nowMs);
    const context = this.#buildContext(fleet, nowMs);
    const offer = this.#offers.buildRebalancing(context);
    return offer === undefined ? [] : [buildEffect(offer)];
  }

  #setNextRebalance(nowMs: number): void {
    const { self, settings } = this.#dependencies;
    const jitter = computeFraction(`${self.vmId}|even|${nowMs}`);
    const waitMs = settings.rebalancePeriodMs * (0.5 + jitter);
    this.#nextRebalanceMs = nowMs + waitMs;
  }

  #buildContext(fleet: Fleet, nowMs: number): OfferContext {
    const { self, table } = this.#dependencies;
    return {
      owned: table.listOwned()
        .filter(({ shard }) => this.#isLeaving || !this.#busy.has(shard)),
      fleet,
      self: self.vmId,
      loads: table.countLoads(fleet),
      nowMs,
    };
  }
}

function buildEffect(offer: Offer): Effect {
  const { to, shards } = offer;
  const message = { kind: "handover_offer", shards } as const;
  return { kind: "send_peer", to, message };
}

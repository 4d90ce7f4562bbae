/**
 * Decides when this node offers its shards to others.
 */
import type { Effect, NodeSpec, ShardId } from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { AssignmentTable } from "./assignment_table.ts";
import type { Fleet } from "./fleet.ts";
import { type Offer, type OfferContext, Offers } from "./offers.ts";
import type { AssignmentSettings } from "./settings.ts";

/** What a handover is made of. */
export interface HandoverParts {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly table: AssignmentTable;
}

/** The handovers of one node. */
export class Handover {
  readonly #parts: HandoverParts;
  readonly #offers: Offers;
  /** Shards whose work would be harmed by a move now. */
  #busy: ReadonlySet<ShardId> = new Set();
  #isLeaving = false;
  #isHandedOver = false;
  #nextRebalanceMs = 0;

  constructor(parts: HandoverParts) {
    this.#parts = parts;
    this.#offers = new Offers(parts.settings);
  }

  /** Whether the node is giving everything away. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Sets the shards that stay where they are unless the node leaves. */
  setBusy(shards: readonly ShardId[]): void {
    this.#busy = new Set(shards);
  }

  /** Begins to give everything away. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /** Whether a leaving node has come to own nothing; says so once. */
  takeHandedOver(): boolean {
    if (!this.#isLeaving || this.#isHandedOver) return false;
    if (this.#parts.table.listOwned().length > 0) return false;
    this.#isHandedOver = true;
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
    const { self, settings } = this.#parts;
    const jitter = computeFraction(`${self.vmId}|even|${nowMs}`);
    const waitMs = settings.rebalancePeriodMs * (0.5 + jitter);
    this.#nextRebalanceMs = nowMs + waitMs;
  }

  #buildContext(fleet: Fleet, nowMs: number): OfferContext {
    const { self, table } = this.#parts;
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

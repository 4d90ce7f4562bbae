/**
 * Offers of this node's shards to others: all when it leaves, a few at a time
 * when it has more than its share.
 */
import type { ShardAssignment, ShardId, VmId } from "@camphorlock/types";
import { findLeastLoaded, getLoad, type OwnerLoads } from "./choose_nodes.ts";
import type { Fleet } from "./fleet.ts";
import { sortByScore } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";

/** Some shards of one group, offered to one node. */
export interface Offer {
  readonly to: VmId;
  readonly shards: readonly ShardId[];
}

interface OpenOffer {
  readonly shards: readonly ShardId[];
  readonly expiresAtMs: number;
}

/** What offers are made from. */
export interface OfferContext {
  readonly owned: readonly ShardAssignment[];
  readonly fleet: Fleet;
  readonly self: VmId;
  readonly loads: OwnerLoads;
  readonly nowMs: number;
}

/** The offers that this node has made. */
export class Offers {
  readonly #settings: AssignmentSettings;
  readonly #open = new Map<number, OpenOffer>();
  #round = 0;

  constructor(settings: AssignmentSettings) {
    this.#settings = settings;
  }

  /** Builds the next offers of a leaving node, a bounded number at a time. */
  buildLeaving(context: OfferContext): Offer[] {
    this.#removeClosed(context);
    const offers: Offer[] = [];
    for (const [group, shards] of this.#splitByGroup(context.owned)) {
      if (this.#open.size >= this.#settings.offersInFlight) break;
      if (this.#open.has(group)) continue;
      const size = this.#settings.offerSize;
      const offer = this.#buildOffer(shards.slice(0, size), context);
      if (offer === undefined) break;
      this.#recordOffer(group, { offer, nowMs: context.nowMs });
      offers.push(offer);
    }
    return offers;
  }

  /** Builds an offer that evens out the load; `undefined` if it's even. */
  buildRebalancing(context: OfferContext): Offer | undefined {
    this.#removeClosed(context);
    const { owned, fleet, self, loads } = context;
    const { shardCount, rebalanceMoves } = this.#settings;
    const mean = shardCount / Math.max(fleet.candidateIds.length, 1);
    const surplus = owned.length - Math.ceil(mean);
    if (surplus < 1 || this.#open.size > 0) return undefined;
    const sorted = sortByScore(`rebalance|${self}`, fleet.candidateIds);
    const least = findLeastLoaded(sorted, loads);
    if (least === undefined) return undefined;
    const room = Math.floor(mean) - getLoad(loads, least);
    const [first] = this.#splitByGroup(owned);
    if (first === undefined || room < 1) return undefined;
    const [group, shards] = first;
    const moves = Math.min(surplus, room, rebalanceMoves);
    const offer = { to: least, shards: shards.slice(0, moves) };
    this.#recordOffer(group, { offer, nowMs: context.nowMs });
    return offer;
  }

  #buildOffer(
    shards: readonly ShardId[],
    context: OfferContext,
  ): Offer | undefined {
    this.#round += 1;
    const { fleet, self, loads } = context;
    const others = fleet.candidateIds.filter((vmId) => vmId !== self);
    const key = `offer|${self}|${this.#round}`;
    const to = findLeastLoaded(sortByScore(key, others), loads);
    if (to === undefined) return undefined;
    loads.set(to, getLoad(loads, to) + shards.length);
    return { to, shards };
  }

  #recordOffer(group: number, made: { offer: Offer; nowMs: number }): void {
    const expiresAtMs = made.nowMs + this.#settings.offerTimeoutMs;
    this.#open.set(group, { shards: made.offer.shards, expiresAtMs });
  }

  #removeClosed(context: OfferContext): void {
    const owned = new Set(context.owned.map((each) => each.shard));
    for (const [group, offer] of this.#open) {
      const isTaken = offer.shards.every((shard) => !owned.has(shard));
      if (!isTaken && context.nowMs < offer.expiresAtMs) continue;
      this.#open.delete(group);
    }
  }

  #splitByGroup(
    owned: readonly ShardAssignment[],
  ): Map<number, ShardId[]> {
    const groups = new Map<number, ShardId[]>();
    for (const { shard } of owned) {
      const group = Math.floor(shard / this.#settings.groupSize);
      const shards = groups.get(group) ?? [];
      shards.push(shard);
      groups.set(group, shards);
    }
    return groups;
  }
}

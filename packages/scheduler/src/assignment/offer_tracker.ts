/**
 * Offers of this node's shards to other nodes: all shards when it leaves, a few
 * at a time when it owns more than its share.
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

interface PendingOffer {
  readonly shards: readonly ShardId[];
  readonly expiresAtMs: number;
}

/** The inputs of offers. */
export interface OfferContext {
  readonly owned: readonly ShardAssignment[];
  readonly fleet: Fleet;
  readonly self: VmId;
  readonly loads: OwnerLoads;
  readonly nowMs: number;
}

/** Builds offers and tracks those in flight. */
export class OfferTracker {
  readonly #settings: AssignmentSettings;
  readonly #pending = new Map<number, PendingOffer>();
  #round = 0;

  constructor(settings: AssignmentSettings) {
    this.#settings = settings;
  }

  /** Builds the next offers of a leaving node, a bounded number in flight. */
  buildLeaving(context: OfferContext): Offer[] {
    this.#removeEnded(context);
    const offers: Offer[] = [];
    for (const [group, shards] of this.#splitByGroup(context.owned)) {
      if (this.#pending.size >= this.#settings.maxOffersInFlight) break;
      if (this.#pending.has(group)) continue;
      const size = this.#settings.maxOfferShards;
      const offer = this.#buildOffer(shards.slice(0, size), context);
      if (offer === undefined) break;
      this.#recordOffer(group, { offer, nowMs: context.nowMs });
      offers.push(offer);
    }
    return offers;
  }

  /** Builds an offer that rebalances the load, if one is needed. */
  buildRebalancing(context: OfferContext): Offer | undefined {
    this.#removeEnded(context);
    const { owned, fleet, self, loads } = context;
    const { shardCount, maxRebalanceMoves } = this.#settings;
    const mean = shardCount / Math.max(fleet.candidateIds.length, 1);
    const surplus = owned.length - Math.ceil(mean);
    if (surplus < 1 || this.#pending.size > 0) return undefined;
    const sorted = sortByScore(`rebalance|${self}`, fleet.candidateIds);
    const leastLoaded = findLeastLoaded(sorted, loads);
    if (leastLoaded === undefined) return undefined;
    const capacity = Math.floor(mean) - getLoad(loads, leastLoaded);
    const [first] = this.#splitByGroup(owned);
    if (first === undefined || capacity < 1) return undefined;
    const [group, shards] = first;
    const moves = Math.min(surplus, capacity, maxRebalanceMoves);
    const offer = { to: leastLoaded, shards: shards.slice(0, moves) };
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

  #recordOffer(group: number, options: { offer: Offer; nowMs: number }): void {
    const expiresAtMs = options.nowMs + this.#settings.offerTimeoutMs;
    this.#pending.set(group, { shards: options.offer.shards, expiresAtMs });
  }

  #removeEnded(context: OfferContext): void {
    const owned = new Set(context.owned.map((each) => each.shard));
    for (const [group, offer] of this.#pending) {
      const isAccepted = offer.shards.every((shard) => !owned.has(shard));
      if (!isAccepted && context.nowMs < offer.expiresAtMs) continue;
      this.#pending.delete(group);
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

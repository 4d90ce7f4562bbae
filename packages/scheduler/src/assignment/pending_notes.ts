/**
 * What this node was told about single shards and has yet to propose: offers
 * of other owners, and recoveries of its own.
 */
import type { Epoch, ShardId, VmId } from "@camphorlock/types";
import type { AssignmentTable } from "./assignment_table.ts";
import type { AssignmentSettings } from "./settings.ts";

interface TimedOffer {
  readonly from: VmId;
  readonly expiresAtMs: number;
}

interface Recovery {
  readonly epoch: Epoch;
  readonly atMs: number;
}

/** The notes of one node. */
export class PendingNotes {
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #offers = new Map<ShardId, TimedOffer>();
  readonly #recovered = new Map<ShardId, Recovery>();

  constructor(settings: AssignmentSettings, table: AssignmentTable) {
    this.#settings = settings;
    this.#table = table;
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

  /** Whether anything is noted about the shards. */
  hasSome(shardIds: readonly ShardId[]): boolean {
    if (this.#offers.size === 0 && this.#recovered.size === 0) return false;
    return shardIds.some((shard) =>
      this.#offers.has(shard) || this.#recovered.has(shard)
    );
  }

  /** Lists the offers that still hold, by shard. */
  listOffers(shardIds: readonly ShardId[], nowMs: number): Map<ShardId, VmId> {
    const offers = new Map<ShardId, VmId>();
    for (const shard of shardIds) {
      const offer = this.#offers.get(shard);
      if (offer === undefined) continue;
      const isTaken = this.#table.findOwned(shard) !== undefined;
      if (isTaken || offer.expiresAtMs <= nowMs) this.#offers.delete(shard);
      else offers.set(shard, offer.from);
    }
    return offers;
  }

  /** Lists the recoveries that have waited for others to join them. */
  listRecovered(
    shardIds: readonly ShardId[],
    nowMs: number,
  ): Map<ShardId, Epoch> {
    const recovered = new Map<ShardId, Epoch>();
    for (const shard of shardIds) {
      const recovery = this.#recovered.get(shard);
      if (recovery === undefined) continue;
      const owned = this.#table.findOwned(shard);
      const waitedMs = nowMs - recovery.atMs;
      if (owned?.epoch !== recovery.epoch) this.#recovered.delete(shard);
      else if (waitedMs >= this.#settings.recoveredDelayMs) {
        recovered.set(shard, recovery.epoch);
      }
    }
    return recovered;
  }

  /** Forgets the recoveries of an epoch that the platform knows of. */
  removeRecovered(shard: ShardId): void {
    this.#recovered.delete(shard);
  }
}

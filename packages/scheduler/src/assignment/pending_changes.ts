/**
 * Changes that this node has yet to propose: shards that other owners offer to
 * it, and its own recoveries.
 */
import type { Epoch, ShardId, VmId } from "@camphorlock/types";
import type { AssignmentTable } from "./assignment_table.ts";
import type { AssignmentSettings } from "./settings.ts";

interface ReceivedOffer {
  readonly from: VmId;
  readonly expiresAtMs: number;
}

interface Recovery {
  readonly epoch: Epoch;
  readonly atMs: number;
}

/** The pending changes of one node. */
export class PendingChanges {
  readonly #settings: AssignmentSettings;
  readonly #table: AssignmentTable;
  readonly #offers = new Map<ShardId, ReceivedOffer>();
  readonly #recoveries = new Map<ShardId, Recovery>();

  constructor(settings: AssignmentSettings, table: AssignmentTable) {
    this.#settings = settings;
    this.#table = table;
  }

  /** Adds an owner's offer of its shards to this node. */
  addOffer(
    from: VmId,
    offer: { shards: readonly ShardId[]; nowMs: number },
  ): void {
    const expiresAtMs = offer.nowMs + this.#settings.offerTimeoutMs;
    for (const shard of offer.shards) {
      this.#offers.set(shard, { from, expiresAtMs });
    }
  }

  /** Adds a shard whose former state this process has recovered. */
  addRecovery(shard: ShardId, recovery: Recovery): void {
    this.#recoveries.set(shard, recovery);
  }

  /** Whether a change of any of the shards is pending. */
  hasAny(shardIds: readonly ShardId[]): boolean {
    if (this.#offers.size === 0 && this.#recoveries.size === 0) return false;
    return shardIds.some((shard) =>
      this.#offers.has(shard) || this.#recoveries.has(shard)
    );
  }

  /** Lists the offering owner of each shard, and removes expired offers. */
  listOffers(shardIds: readonly ShardId[], nowMs: number): Map<ShardId, VmId> {
    const offers = new Map<ShardId, VmId>();
    for (const shard of shardIds) {
      const offer = this.#offers.get(shard);
      if (offer === undefined) continue;
      const isOwned = this.#table.findOwned(shard) !== undefined;
      if (isOwned || offer.expiresAtMs <= nowMs) this.#offers.delete(shard);
      else offers.set(shard, offer.from);
    }
    return offers;
  }

  /** Lists the recoveries whose batching delay has passed. */
  listRecoveries(
    shardIds: readonly ShardId[],
    nowMs: number,
  ): Map<ShardId, Epoch> {
    const recoveries = new Map<ShardId, Epoch>();
    for (const shard of shardIds) {
      const recovery = this.#recoveries.get(shard);
      if (recovery === undefined) continue;
      const owned = this.#table.findOwned(shard);
      const waitedMs = nowMs - recovery.atMs;
      if (owned?.epoch !== recovery.epoch) this.#recoveries.delete(shard);
      else if (waitedMs >= this.#settings.recoveryBatchMs) {
        recoveries.set(shard, recovery.epoch);
      }
    }
    return recoveries;
  }

  /** Removes a shard's recovery, once the platform has stored it. */
  removeRecovery(shard: ShardId): void {
    this.#recoveries.delete(shard);
  }
}

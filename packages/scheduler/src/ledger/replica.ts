/**
 * The replica role of a node: in-memory copies of other owners' recent entries.
 *
 * The copies are lost when the process ends. Each message of an owner therefore
 * names the process that it's addressed to. A sealed replica refuses the owners
 * of earlier epochs.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type LedgerEntry,
  type ReplicaMessage,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { encodeEntry } from "./segment.ts";

/** The options of a replica. */
export interface ReplicaOptions {
  /** The incarnation of this node's process. */
  readonly incarnation: number;
  /** Maximum encoded bytes of the entries of all shards. */
  readonly maxBytes: number;
  /** Maximum encoded bytes of the entries in one response to a seal. */
  readonly messageBytes: number;
}

/** The default maximum bytes of the entries that a node's replica holds. */
export const DEFAULT_REPLICA_BYTES = 24_000_000;

type KeepEntriesMessage = Extract<ReplicaMessage, { kind: "keep_entries" }>;
type SealReplicaMessage = Extract<ReplicaMessage, { kind: "seal_keeper" }>;

interface ReplicatedEntry {
  readonly entry: LedgerEntry;
  readonly bytes: number;
}

interface ShardReplica {
  /** Messages of lower epochs are refused. */
  sealedEpoch: Epoch;
  /** The epoch of the owner whose entries are held. */
  heldEpoch: Epoch;
  /** Entries after `storedThrough`, without gaps. */
  entries: ReplicatedEntry[];
  storedThrough: number;
  keptThrough: number;
  /** Highest sequence that the owner has reported as durable. */
  durableThrough: number;
}

/** Holds the recent entries of other owners' shards. */
export class Replica {
  readonly #options: ReplicaOptions;
  readonly #shards = new Map<ShardId, ShardReplica>();
  #bytes = 0;

  constructor(options: ReplicaOptions) {
    this.#options = options;
  }

  /** Encoded bytes of the entries held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Share of the maximum space that is in use, from 0 to 1. */
  get usage(): number {
    return this.#bytes / this.#options.maxBytes;
  }

  /** Handles a message of an owner or a recovery; returns the response. */
  handle(from: VmId, message: ReplicaMessage): Effect[] {
    switch (message.kind) {
      case "keep_entries":
        return [createSend(from, this.#addEntries(message))];
      case "seal_keeper":
        return [createSend(from, this.#applySeal(message))];
      case "entries_kept":
      case "keep_refused":
      case "keeper_sealed":
        return [];
      default:
        return checkNever(message);
    }
  }

  #addEntries(message: KeepEntriesMessage): ReplicaMessage {
    const sealedEpoch = this.#shards.get(message.shard)?.sealedEpoch ?? 0;
    if (message.epoch < sealedEpoch) return createRefusal(message, sealedEpoch);
    if (message.keeperIncarnation !== this.#options.incarnation) {
      return this.#createAck(message, 0);
    }
    const shard = this.#openShard(message.shard, message.epoch);
    shard.durableThrough = Math.max(
      shard.durableThrough,
      message.durableThrough,
    );
    this.#removeStored(shard, message.storedThrough);
    for (const entry of message.entries) this.#addEntry(shard, entry);
    return this.#createAck(message, shard.keptThrough);
  }

  /** Finds or creates an epoch's copy; drops an earlier epoch's, now stored. */
  #openShard(shardId: ShardId, epoch: Epoch): ShardReplica {
    const held = this.#shards.get(shardId);
    if (held !== undefined && held.heldEpoch === epoch) return held;
    this.#bytes -= sumBytes(held?.entries ?? []);
    const opened = createShardReplica(epoch, epoch);
    this.#shards.set(shardId, opened);
    return opened;
  }

  #removeStored(shard: ShardReplica, storedThrough: number): void {
    if (storedThrough <= shard.storedThrough) return;
    const count = storedThrough - shard.storedThrough;
    this.#bytes -= sumBytes(shard.entries.splice(0, count));
    shard.storedThrough = storedThrough;
    shard.keptThrough = Math.max(shard.keptThrough, storedThrough);
  }

  #addEntry(shard: ShardReplica, entry: LedgerEntry): void {
    if (entry.sequence !== shard.keptThrough + 1) return;
    const bytes = encodeEntry(entry).length;
    if (this.#bytes + bytes > this.#options.maxBytes) return;
    shard.entries.push({ entry, bytes });
    shard.keptThrough = entry.sequence;
    this.#bytes += bytes;
  }

  #applySeal(message: SealReplicaMessage): ReplicaMessage {
    const shard = this.#shards.get(message.shard) ?? createShardReplica(0, 0);
    if (message.epoch < shard.sealedEpoch) {
      return createRefusal(message, shard.sealedEpoch);
    }
    shard.sealedEpoch = message.epoch;
    this.#shards.set(message.shard, shard);
    const page = choosePage(
      shard.entries,
      message.afterSequence,
      this.#options.messageBytes,
    );
    const last = page.at(-1)?.sequence ?? shard.keptThrough;
    return {
      kind: "keeper_sealed",
      shard: message.shard,
      epoch: message.epoch,
      heldEpoch: shard.heldEpoch,
      entries: page,
      more: last < shard.keptThrough,
      storedThrough: shard.storedThrough,
      keptThrough: shard.keptThrough,
      complete: shard.keptThrough >= shard.durableThrough,
      keeperIncarnation: this.#options.incarnation,
      token: message.token,
    };
  }

  #createAck(message: KeepEntriesMessage, keptThrough: number): ReplicaMessage {
    return {
      kind: "entries_kept",
      shard: message.shard,
      epoch: message.epoch,
      keptThrough,
      keeperIncarnation: this.#options.incarnation,
      token: message.token,
    };
  }
}

function createShardReplica(
  sealedEpoch: Epoch,
  heldEpoch: Epoch,
): ShardReplica {
  return {
    sealedEpoch,
    heldEpoch,
    entries: [],
    storedThrough: 0,
    keptThrough: 0,
    durableThrough: 0,
  };
}

function createRefusal(
  message: KeepEntriesMessage | SealReplicaMessage,
  sealedEpoch: Epoch,
): ReplicaMessage {
  return {
    kind: "keep_refused",
    shard: message.shard,
    epoch: message.epoch,
    sealedEpoch,
    token: message.token,
  };
}

function choosePage(
  entries: readonly ReplicatedEntry[],
  afterSequence: number,
  maxBytes: number,
): LedgerEntry[] {
  const page: LedgerEntry[] = [];
  let bytes = 0;
  for (const kept of entries) {
    if (kept.entry.sequence <= afterSequence) continue;
    if (page.length > 0 && bytes + kept.bytes > maxBytes) break;
    page.push(kept.entry);
    bytes += kept.bytes;
  }
  return page;
}

function sumBytes(entries: readonly ReplicatedEntry[]): number {
  return entries.reduce((sum, kept) => sum + kept.bytes, 0);
}

function createSend(to: VmId, message: ReplicaMessage): Effect {
  return { kind: "send_peer", to, message };
}

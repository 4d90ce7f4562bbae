/**
 * The keeper role of a node: copies of other owners' recent entries.
 *
 * A keeper's memory ends with its process. Each message of an owner therefore
 * names the process that it's meant for, and a keeper that has been sealed
 * refuses the owners of earlier epochs.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type KeeperMessage,
  type LedgerEntry,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import { encodeEntry } from "./segment.ts";

/** The options of a keeper. */
export interface KeeperOptions {
  /** The incarnation of this node's process. */
  readonly incarnation: number;
  /** Encoded entries of all shards that are held at most, in bytes. */
  readonly maxBytes: number;
  /** Encoded entries of one answer to a seal, in bytes. */
  readonly messageBytes: number;
}

/** The limits that a node's keeper uses unless its settings say otherwise. */
export const DEFAULT_KEEPER_BYTES = 24_000_000;

type KeepMessage = Extract<KeeperMessage, { kind: "keep_entries" }>;
type SealMessage = Extract<KeeperMessage, { kind: "seal_keeper" }>;

interface KeptEntry {
  readonly entry: LedgerEntry;
  readonly bytes: number;
}

interface KeptShard {
  /** Owners of lower epochs are refused. */
  sealedEpoch: Epoch;
  /** The epoch of the owner whose entries are held. */
  heldEpoch: Epoch;
  /** Entries after `storedThrough`, without gaps. */
  entries: KeptEntry[];
  storedThrough: number;
  keptThrough: number;
  /** Highest sequence that the owner said it reported durable. */
  durableThrough: number;
}

/** Keeps the recent entries of other owners' shards. */
export class Keeper {
  readonly #options: KeeperOptions;
  readonly #shards = new Map<ShardId, KeptShard>();
  #bytes = 0;

  constructor(options: KeeperOptions) {
    this.#options = options;
  }

  /** Encoded bytes of the entries held. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Share of the bounded space that is in use, from 0 to 1. */
  get usage(): number {
    return this.#bytes / this.#options.maxBytes;
  }

  /** Answers a message of an owner or of a recovery. */
  handle(from: VmId, message: KeeperMessage): Effect[] {
    switch (message.kind) {
      case "keep_entries":
        return [createSend(from, this.#addEntries(message))];
      case "seal_keeper":
        return [createSend(from, this.#closeShard(message))];
      case "entries_kept":
      case "keep_refused":
      case "keeper_sealed":
        return [];
      default:
        return checkNever(message);
    }
  }

  #addEntries(message: KeepMessage): KeeperMessage {
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

  /** Finds the shard's copy; an earlier epoch's is on the platform by now. */
  #openShard(shardId: ShardId, epoch: Epoch): KeptShard {
    const held = this.#shards.get(shardId);
    if (held !== undefined && held.heldEpoch === epoch) return held;
    this.#bytes -= sumBytes(held?.entries ?? []);
    const opened = createShard(epoch, epoch);
    this.#shards.set(shardId, opened);
    return opened;
  }

  #removeStored(shard: KeptShard, storedThrough: number): void {
    if (storedThrough <= shard.storedThrough) return;
    const count = storedThrough - shard.storedThrough;
    this.#bytes -= sumBytes(shard.entries.splice(0, count));
    shard.storedThrough = storedThrough;
    shard.keptThrough = Math.max(shard.keptThrough, storedThrough);
  }

  #addEntry(shard: KeptShard, entry: LedgerEntry): void {
    if (entry.sequence !== shard.keptThrough + 1) return;
    const bytes = encodeEntry(entry).length;
    if (this.#bytes + bytes > this.#options.maxBytes) return;
    shard.entries.push({ entry, bytes });
    shard.keptThrough = entry.sequence;
    this.#bytes += bytes;
  }

  #closeShard(message: SealMessage): KeeperMessage {
    const shard = this.#shards.get(message.shard) ?? createShard(0, 0);
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

  #createAck(message: KeepMessage, keptThrough: number): KeeperMessage {
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

function createShard(sealedEpoch: Epoch, heldEpoch: Epoch): KeptShard {
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
  message: KeepMessage | SealMessage,
  sealedEpoch: Epoch,
): KeeperMessage {
  return {
    kind: "keep_refused",
    shard: message.shard,
    epoch: message.epoch,
    sealedEpoch,
    token: message.token,
  };
}

function choosePage(
  entries: readonly KeptEntry[],
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

function sumBytes(entries: readonly KeptEntry[]): number {
  return entries.reduce((sum, kept) => sum + kept.bytes, 0);
}

function createSend(to: VmId, message: KeeperMessage): Effect {
  return { kind: "send_peer", to, message };
}

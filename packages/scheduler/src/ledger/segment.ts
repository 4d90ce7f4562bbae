/**
 * Segments of a shard's log on the platform, and their keys.
 *
 * The log is a ring of slots, one platform object each. Segment `n` is written
 * to slot `n` modulo the ring's size, by a conditional update of a segment that
 * a snapshot made obsolete. Slots are never deleted, so that the condition of a
 * writer that was paused fails on the slot's newer version.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Epoch, LedgerEntry, ShardId, VmId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

/** A replica process that an owner may use from its first append. */
export interface ReplicaProcess {
  readonly vmId: VmId;
  /** Zero if the incarnation on that VM was unknown. */
  readonly incarnation: number;
}

/** States that an owner serves from here on, and names its replicas. */
export interface OpenRecord {
  readonly epoch: Epoch;
  readonly keepers: readonly ReplicaProcess[];
}

/**
 * The purpose of a segment.
 *
 * `seal` starts a takeover, `entries` carries entries, `open` lets the new
 * owner serve and carries the last of the entries that it recovered, and
 * `close` states that its writer appends nothing more.
 */
export type SegmentRole = "seal" | "entries" | "open" | "close";

/** One stored segment. */
export interface Segment {
  readonly number: number;
  readonly epoch: Epoch;
  readonly role: SegmentRole;
  /** Set when `role` is `open`. */
  readonly open?: OpenRecord;
  readonly entries: readonly LedgerEntry[];
  /** Encoded bytes of the entries. */
  readonly bytes: number;
}

/** A segment whose entries are already encoded. */
export interface EncodedSegment {
  readonly number: number;
  readonly epoch: Epoch;
  readonly role: SegmentRole;
  readonly open?: OpenRecord;
  readonly entries: readonly Uint8Array[];
}

const packr = new Packr({ useRecords: false });
const KEY_DIGITS = 6;

/** Formats the key of a segment's slot. */
export function formatSegmentKey(
  shard: ShardId,
  number: number,
  ringSize: number,
): string {
  const slot = number % ringSize;
  return `ledger/${shard}/${String(slot).padStart(KEY_DIGITS, "0")}`;
}

/** Encodes one entry; segments and size limits use the result. */
export function encodeEntry(entry: LedgerEntry): Uint8Array {
  return packr.pack(entry);
}

/** Encodes a segment as a platform value. */
export function encodeSegment(segment: EncodedSegment): Uint8Array {
  return packr.pack(segment);
}

/** Decodes a platform value that holds a segment. */
export function decodeSegment(value: Uint8Array): Result<Segment, Failure> {
  try {
    const stored = packr.unpack(value) as EncodedSegment;
    const entries = stored.entries.map(decodeEntry);
    return ok({ ...stored, entries, bytes: sumLengths(stored.entries) });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err(createFailure("SegmentUnreadable", detail));
  }
}

/** Sums the bytes of encoded entries. */
export function sumLengths(values: readonly Uint8Array[]): number {
  return values.reduce((sum, value) => sum + value.length, 0);
}

function decodeEntry(value: Uint8Array): LedgerEntry {
  return packr.unpack(value) as LedgerEntry;
}

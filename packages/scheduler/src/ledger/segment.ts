/**
 * Segments of a shard's log on the platform, and their names.
 *
 * The log is a ring of names. Segment `n` is written to the name `n` modulo the
 * ring's size by a conditional update of the segment that a snapshot made
 * superfluous. Names are never deleted, so that a writer which was paused finds
 * a version other than the one it knows and can't write.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Epoch, LedgerEntry, ShardId, VmId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

/** A keeper process that an owner may count on from its first append. */
export interface KeeperProcess {
  readonly vmId: VmId;
  /** Zero when the process that runs there wasn't known. */
  readonly incarnation: number;
}

/** Says that an owner serves from here on, and who keeps its entries. */
export interface OpenRecord {
  readonly epoch: Epoch;
  readonly keepers: readonly KeeperProcess[];
}

/**
 * What a segment is for.
 *
 * `seal` begins a takeover, `entries` carries entries, `open` lets the new owner
 * serve and carries the last of the entries that it found, and `close` promises
 * that its writer appends nothing more.
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

/** Formats the name of a segment. */
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

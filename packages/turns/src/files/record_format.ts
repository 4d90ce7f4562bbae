/**
 * The records of a segment file.
 *
 * Each record is its payload's length (4 bytes, big endian), the first 8 bytes
 * of the payload's SHA-256, and the payload in MessagePack.
 *
 * A loss of power may tear the last write, which was never acknowledged. So each
 * write begins with a record of its own: where another write begins after
 * unreadable bytes, these had been synced and are damage, and reading goes on
 * there. The record holds a random number of the file, since the bytes of a
 * turn may imitate any record.
 */
import { createHash } from "node:crypto";
import { Packr } from "msgpackr";

const LENGTH_BYTES = 4;
const CHECKSUM_BYTES = 8;
const HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES;
/** Largest payload; a longer one means that the length is damaged. */
const MAX_PAYLOAD_BYTES = 16 * 1_024 * 1_024;

const PACKR = new Packr({ useRecords: false });

/** The format's version, in the first record of each file. */
export const FORMAT_VERSION = 2;
/** The oldest version that can be read; its writes have no records. */
const OLDEST_VERSION = 1;
/** Payloads begin with a map, whose first key is the kind. */
const KIND_KEY = Buffer.from(PACKR.pack("kind"));
/** Bytes of a map's header, for few and for any number of keys. */
const MAP_HEADER_BYTES = [1, 3];

/** One record. */
export type SegmentRecord =
  /** The first record of each file. */
  | {
    readonly kind: "head";
    readonly version: number;
    /** Random, repeated by each write; absent in version 1. */
    readonly nonce?: string;
  }
  /** The first record of each write. */
  | { readonly kind: "write"; readonly nonce: string; readonly at: number }
  /** Bytes that inputs of the same file share. */
  | { readonly kind: "block"; readonly hash: string; readonly bytes: Buffer }
  | {
    readonly kind: "turn";
    readonly id: string;
    readonly parentId: string | undefined;
    /** Hashes of the blocks that the input begins with. */
    readonly blocks: readonly string[];
    /** The rest of the input. */
    readonly rest: Buffer;
    readonly output: Buffer;
    /** Names the turn's tenant, too; see `encodeRunner`. */
    readonly targetId: string;
    readonly retentionMs: number;
    /** End of the turn in Unix milliseconds. */
    readonly endedAtUnixMs: number;
  }
  /** The last record of a file that was written to its end. */
  | { readonly kind: "seal" };

/** Unreadable bytes that a later write follows. */
export interface Gap {
  readonly fromByte: number;
  readonly toByte: number;
}

/** The records that a reader found. */
export interface ReadRecords {
  readonly records: readonly SegmentRecord[];
  readonly gaps: readonly Gap[];
  /** End of the last readable record. */
  readonly readableBytes: number;
}

interface PlacedRecord {
  readonly record: SegmentRecord;
  readonly end: number;
}

/** Encodes a record. */
export function encodeRecord(record: SegmentRecord): Buffer {
  const payload = PACKR.pack(record);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  computeChecksum(payload).copy(header, LENGTH_BYTES);
  return Buffer.concat([header, payload]);
}

/** Reads every record that is whole, and finds damage between them. */
export function readRecords(bytes: Buffer): ReadRecords {
  const records: SegmentRecord[] = [];
  const gaps: Gap[] = [];
  let nonce: string | undefined;
  let at = 0;
  for (;;) {
    const placed = readRecordAt(bytes, at);
    if (placed !== undefined) {
      const { record, end } = placed;
      if (at === 0 && record.kind === "head") nonce = record.nonce;
      records.push(record);
      at = end;
      continue;
    }
    const next = findNextWrite(bytes, at, nonce);
    if (next === undefined) return { records, gaps, readableBytes: at };
    gaps.push({ fromByte: at, toByte: next });
    // A file of version 1 has no trusted place to go on reading.
    if (nonce === undefined) return { records, gaps, readableBytes: at };
    at = next;
  }
}

/** Whether the records are those of a format that can be read. */
export function isKnownFormat(records: readonly SegmentRecord[]): boolean {
  const [head] = records;
  return head?.kind === "head" && head.version >= OLDEST_VERSION &&
    head.version <= FORMAT_VERSION;
}

/** Encodes the head of a new file. */
export function encodeHead(nonce: string): Buffer {
  return encodeRecord({ kind: "head", version: FORMAT_VERSION, nonce });
}

function readRecordAt(bytes: Buffer, at: number): PlacedRecord | undefined {
  if (at < 0 || at + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32BE(at);
  const end = at + HEADER_BYTES + length;
  if (length > MAX_PAYLOAD_BYTES || end > bytes.length) return undefined;
  const payload = bytes.subarray(at + HEADER_BYTES, end);
  const checksum = bytes.subarray(at + LENGTH_BYTES, at + HEADER_BYTES);
  if (!computeChecksum(payload).equals(checksum)) return undefined;
  const record = decodePayload(payload);
  return record === undefined ? undefined : { record, end };
}

/**
 * Finds where a write begins after unreadable bytes. In a file of version 1 any
 * whole record shows that the bytes before it had been written completely.
 */
function findNextWrite(
  bytes: Buffer,
  fromByte: number,
  nonce: string | undefined,
): number | undefined {
  let key = bytes.indexOf(KIND_KEY, fromByte);
  while (key >= 0) {
    for (const mapBytes of MAP_HEADER_BYTES) {
      const at = key - mapBytes - HEADER_BYTES;
      if (at <= fromByte) continue;
      const record = readRecordAt(bytes, at)?.record;
      const isWrite = record?.kind === "write" && record.nonce === nonce &&
        record.at === at;
      if (isWrite || (nonce === undefined && record !== undefined)) return at;
    }
    key = bytes.indexOf(KIND_KEY, key + 1);
  }
  return undefined;
}

/** Computes the hash that names a block. */
export function computeBlockHash(bytes: Buffer): string {
  return createHash("sha256").update(bytes).digest("base64").slice(0, 22);
}

function computeChecksum(payload: Uint8Array): Buffer {
  return createHash("sha256").update(payload).digest()
    .subarray(0, CHECKSUM_BYTES);
}

/** Decodes a payload whose checksum matches; undefined for another format. */
function decodePayload(payload: Buffer): SegmentRecord | undefined {
  try {
    const record = PACKR.unpack(payload) as Partial<SegmentRecord> | null;
    return typeof record?.kind === "string"
      ? record as SegmentRecord
      : undefined;
  } catch {
    // A payload that MessagePack can't decode ends the readable part as well.
    return undefined;
  }
}

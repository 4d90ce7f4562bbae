/**
 * The records of a segment file.
 *
 * Each record is its payload's length (4 bytes, big endian), the first 8 bytes
 * of the payload's SHA-256, and the payload in MessagePack. A loss of power may
 * tear the last write, so a reader stops at the first record that doesn't match
 * its checksum.
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
export const FORMAT_VERSION = 1;

/** One record. */
export type SegmentRecord =
  /** The first record of each file. */
  | { readonly kind: "head"; readonly version: number }
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
    readonly targetId: string;
    readonly retentionMs: number;
    /** End of the turn in Unix milliseconds. */
    readonly endedAtUnixMs: number;
  }
  /** The last record of a file that was written to its end. */
  | { readonly kind: "seal" };

/** The records that a reader found. */
export interface ReadRecords {
  readonly records: readonly SegmentRecord[];
  /** Length of the readable part. */
  readonly readableBytes: number;
}

/** Encodes a record. */
export function encodeRecord(record: SegmentRecord): Buffer {
  const payload = PACKR.pack(record);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(payload.length, 0);
  computeChecksum(payload).copy(header, LENGTH_BYTES);
  return Buffer.concat([header, payload]);
}

/** Reads records up to the first damaged one. */
export function readRecords(bytes: Buffer): ReadRecords {
  const records: SegmentRecord[] = [];
  let at = 0;
  while (at + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32BE(at);
    const end = at + HEADER_BYTES + length;
    if (length > MAX_PAYLOAD_BYTES || end > bytes.length) break;
    const payload = bytes.subarray(at + HEADER_BYTES, end);
    const checksum = bytes.subarray(at + LENGTH_BYTES, at + HEADER_BYTES);
    if (!computeChecksum(payload).equals(checksum)) break;
    const record = decodePayload(payload);
    if (record === undefined) break;
    records.push(record);
    at = end;
  }
  return { records, readableBytes: at };
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

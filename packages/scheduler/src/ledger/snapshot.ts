/**
 * Snapshots of a shard's state on the platform, and their keys.
 *
 * A snapshot consists of parts, which hold the owner's encoded state after a
 * stored entry, and a head that is written last. Keys contain the next segment
 * and the epoch, so that no two snapshots mix their parts. They sort by age.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { Epoch, ShardId } from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import type { OpenRecord } from "./segment.ts";

/** The last object of a snapshot, which is incomplete without it. */
export interface SnapshotHead {
  readonly epoch: Epoch;
  /** The state includes the entries up to this sequence. */
  readonly throughSequence: number;
  /** The first segment that may hold later entries. */
  readonly nextSegment: number;
  readonly partCount: number;
  /** The latest open record before `nextSegment`. */
  readonly open: OpenRecord;
}

/** The components of a key, which order the snapshots of a shard. */
export interface SnapshotName {
  readonly throughSequence: number;
  readonly nextSegment: number;
  readonly epoch: Epoch;
}

const packr = new Packr({ useRecords: false });
const NUMBER_DIGITS = 16;
const PART_DIGITS = 4;

/** Formats the key prefix of all snapshot heads of a shard. */
export function formatHeadPrefix(shard: ShardId): string {
  return `snapshot/${shard}/head/`;
}

/** Formats the key prefix of all snapshot parts of a shard. */
export function formatPartPrefix(shard: ShardId): string {
  return `snapshot/${shard}/part/`;
}

/** Formats the key of a snapshot's head. */
export function formatHeadKey(shard: ShardId, name: SnapshotName): string {
  return formatHeadPrefix(shard) + formatName(name);
}

/** Formats the key of one part of a snapshot. */
export function formatPartKey(
  shard: ShardId,
  name: SnapshotName & { readonly part: number },
): string {
  const part = String(name.part).padStart(PART_DIGITS, "0");
  return `${formatPartPrefix(shard)}${formatName(name)}/${part}`;
}

/** Whether the key of a head or part belongs to an older snapshot. */
export function isOlder(key: string, than: SnapshotName): boolean {
  const position = /\/(\d+-\d+)-\d+(\/\d+)?$/.exec(key)?.[1];
  return position !== undefined && position < formatPosition(than);
}

/** Encodes a snapshot's head as a platform value. */
export function encodeHead(head: SnapshotHead): Uint8Array {
  return packr.pack(head);
}

/** Decodes a snapshot's head. */
export function decodeHead(value: Uint8Array): Result<SnapshotHead, Failure> {
  try {
    return ok(packr.unpack(value) as SnapshotHead);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err(createFailure("SegmentUnreadable", detail));
  }
}

function formatName(name: SnapshotName): string {
  return `${formatPosition(name)}-${name.epoch}`;
}

function formatPosition(name: SnapshotName): string {
  const sequence = String(name.throughSequence).padStart(NUMBER_DIGITS, "0");
  const segment = String(name.nextSegment).padStart(NUMBER_DIGITS, "0");
  return `${sequence}-${segment}`;
}

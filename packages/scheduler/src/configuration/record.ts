/**
 * Revision records as bytes, on the platform and between nodes.
 *
 * Records are msgpack with a format number. Targets of a whole configuration
 * are grouped by what they have in common, which keeps a checkpoint of 12,000
 * targets well below the largest value that the platform holds.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationValue,
  Revision,
  RevisionRecord,
  TargetSpec,
} from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { sortConfiguration } from "./value.ts";

const FORMAT = 1;
const REVISION_DIGITS = 10;

/** Prefix of the platform keys of revisions. */
export const REVISION_PREFIX = "configuration/";

/** Revisions from one checkpoint, which holds everything, to the next. */
export const CHECKPOINT_EVERY = 32;

const packr = new Packr({ useRecords: false });

interface TargetGroup extends Omit<TargetSpec, "targetId" | "address"> {
  /** Target id and address of each target, in turn. */
  readonly members: readonly string[];
}

interface PackedRecord extends Omit<RevisionRecord, "full"> {
  readonly format: number;
  readonly full?: Omit<ConfigurationValue, "targets">;
  readonly targetGroups?: readonly TargetGroup[];
}

/** Formats the platform key of a revision; keys sort as revisions do. */
export function formatRevisionKey(revision: Revision): string {
  const digits = String(revision).padStart(REVISION_DIGITS, "0");
  return `${REVISION_PREFIX}${digits}`;
}

/** Reads the revision out of a platform key, `undefined` for other keys. */
export function parseRevisionKey(key: string): Revision | undefined {
  if (!key.startsWith(REVISION_PREFIX)) return undefined;
  const digits = key.slice(REVISION_PREFIX.length);
  return /^\d{10}$/.test(digits) ? Number(digits) : undefined;
}

/** Whether a revision is stored with the whole configuration. */
export function isCheckpoint(revision: Revision): boolean {
  return (revision - 1) % CHECKPOINT_EVERY === 0;
}

/** Gives the latest checkpoint at or before a revision. */
export function computeCheckpoint(revision: Revision): Revision {
  return revision - ((revision - 1) % CHECKPOINT_EVERY);
}

/** Encodes a record. */
export function encodeRecord(record: RevisionRecord): Uint8Array {
  const { full, ...rest } = record;
  if (full === undefined) return packr.pack({ format: FORMAT, ...rest });
  const { targets, ...sections } = full;
  const targetGroups = buildGroups(targets);
  return packr.pack({ format: FORMAT, ...rest, full: sections, targetGroups });
}

/** Decodes a record. Fails with `PlatformConflict` when it isn't one. */
export function decodeRecord(
  value: Uint8Array,
): Result<RevisionRecord, Failure> {
  try {
    const packed: unknown = packr.unpack(value);
    if (isPackedRecord(packed)) return ok(buildRecord(packed));
  } catch {
    // Bytes that aren't msgpack are no record either.
  }
  return err(createFailure("PlatformConflict", "not a configuration record"));
}

function isPackedRecord(value: unknown): value is PackedRecord {
  if (typeof value !== "object" || value === null) return false;
  const record = value as Partial<PackedRecord>;
  return record.format === FORMAT &&
    Number.isSafeInteger(record.revision) &&
    typeof record.changeId === "string" &&
    (isObject(record.patch) || isObject(record.full));
}

function isObject(value: unknown): boolean {
  return typeof value === "object" && value !== null;
}

function buildRecord(packed: PackedRecord): RevisionRecord {
  const { full, targetGroups, format: _format, ...record } = packed;
  if (full === undefined) return record;
  const targets = (targetGroups ?? []).flatMap(listMembers);
  return { ...record, full: sortConfiguration({ ...full, targets }) };
}

function buildGroups(targets: readonly TargetSpec[]): readonly TargetGroup[] {
  const groups = new Map<string, { group: TargetGroup; members: string[] }>();
  for (const { targetId, address, ...common } of targets) {
    const key = JSON.stringify(common);
    const found = groups.get(key);
    if (found !== undefined) found.members.push(targetId, address);
    else {
      const members: string[] = [targetId, address];
      groups.set(key, { group: { ...common, members }, members });
    }
  }
  return [...groups.values()].map(({ group }) => group);
}

function listMembers(group: TargetGroup): readonly TargetSpec[] {
  const { members, ...common } = group;
  const targets: TargetSpec[] = [];
  for (let index = 0; index + 1 < members.length; index += 2) {
    const targetId = members[index] ?? "";
    const address = members[index + 1] ?? "";
    targets.push({ targetId, address, ...common });
  }
  return targets;
}

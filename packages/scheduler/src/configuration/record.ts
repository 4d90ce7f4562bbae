/**
 * The encoding of revision records, on the platform and between nodes.
 *
 * Records are msgpack with a format number. Targets of a full configuration
 * are grouped by their common fields, which keeps a checkpoint of 12,000
 * targets well below the largest value that the platform accepts.
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

/** Number of revisions from one checkpoint to the next. */
export const CHECKPOINT_INTERVAL = 32;

const packr = new Packr({ useRecords: false });

interface TargetGroup extends Omit<TargetSpec, "targetId" | "address"> {
  /** Alternating target ids and addresses. */
  readonly members: readonly string[];
}

interface PackedRecord extends Omit<RevisionRecord, "full"> {
  readonly format: number;
  readonly full?: Omit<ConfigurationValue, "targets">;
  readonly targetGroups?: readonly TargetGroup[];
}

/** Formats the platform key of a revision. Keys sort in revision order. */
export function formatRevisionKey(revision: Revision): string {
  const digits = String(revision).padStart(REVISION_DIGITS, "0");
  return `${REVISION_PREFIX}${digits}`;
}

/** Parses the revision in a platform key. `undefined` for other keys. */
export function parseRevisionKey(key: string): Revision | undefined {
  if (!key.startsWith(REVISION_PREFIX)) return undefined;
  const digits = key.slice(REVISION_PREFIX.length);
  return /^\d{10}$/.test(digits) ? Number(digits) : undefined;
}

/** Whether a revision is stored with the full configuration. */
export function isCheckpoint(revision: Revision): boolean {
  return (revision - 1) % CHECKPOINT_INTERVAL === 0;
}

/** Computes the latest checkpoint at or before a revision. */
export function computeCheckpoint(revision: Revision): Revision {
  return revision - ((revision - 1) % CHECKPOINT_INTERVAL);
}

/** Encodes a record. */
export function encodeRecord(record: RevisionRecord): Uint8Array {
  const { full, ...rest } = record;
  if (full === undefined) return packr.pack({ format: FORMAT, ...rest });
  const { targets, ...sections } = full;
  const targetGroups = buildTargetGroups(targets);
  return packr.pack({ format: FORMAT, ...rest, full: sections, targetGroups });
}

/** Decodes a record. Fails with `PlatformConflict` for any other value. */
export function decodeRecord(
  value: Uint8Array,
): Result<RevisionRecord, Failure> {
  try {
    const packed: unknown = packr.unpack(value);
    if (isPackedRecord(packed)) return ok(buildRecord(packed));
  } catch {
    // Bytes that aren't valid msgpack fail like any other invalid record.
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
  const targets = (targetGroups ?? []).flatMap(listGroupTargets);
  return { ...record, full: sortConfiguration({ ...full, targets }) };
}

function buildTargetGroups(
  targets: readonly TargetSpec[],
): readonly TargetGroup[] {
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

function listGroupTargets(group: TargetGroup): readonly TargetSpec[] {
  const { members, ...common } = group;
  const targets: TargetSpec[] = [];
  for (let index = 0; index + 1 < members.length; index += 2) {
    const targetId = members[index] ?? "";
    const address = members[index + 1] ?? "";
    targets.push({ targetId, address, ...common });
  }
  return targets;
}

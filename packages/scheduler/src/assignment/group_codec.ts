/**
 * Encodes the groups of shards that are stored on the platform.
 */
import { pack, unpack } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import { createFailure, type Failure } from "@camphorlock/codes";
import type { ShardAssignment } from "@camphorlock/types";
import type { StoredShard } from "./messages.ts";

const FORMAT = 1;
const KEY_PREFIX = "assignment/";
const GROUP_DIGITS = 4;

/** The prefix of the keys of all groups. */
export const ASSIGNMENT_PREFIX = KEY_PREFIX;

/** Formats the platform key of a group. */
export function formatGroupKey(group: number): string {
  return KEY_PREFIX + group.toString().padStart(GROUP_DIGITS, "0");
}

/** Parses the group out of a platform key. */
export function parseGroupKey(key: string): number | undefined {
  if (!/^assignment\/\d{4,9}$/.test(key)) return undefined;
  return Number.parseInt(key.slice(KEY_PREFIX.length), 10);
}

/** Encodes the shards of a group. */
export function encodeGroup(shards: readonly StoredShard[]): Uint8Array {
  return pack({ format: FORMAT, shards });
}

/** Decodes the shards of a group. */
export function decodeGroup(
  value: Uint8Array,
): Result<StoredShard[], Failure> {
  const decoded = decodeValue(value);
  if (!isRecord(decoded) || decoded["format"] !== FORMAT) {
    return err(createFailure("Internal", "unsupported format of shard group"));
  }
  const shards = decoded["shards"];
  if (!Array.isArray(shards) || !shards.every(isStoredShard)) {
    return err(createFailure("Internal", "malformed shards in a shard group"));
  }
  return ok(shards);
}

/** Whether a value has the shape of an assignment. */
export function isShardAssignment(value: unknown): value is ShardAssignment {
  if (!isRecord(value)) return false;
  return Number.isSafeInteger(value["shard"]) &&
    Number.isSafeInteger(value["epoch"]) &&
    typeof value["owner"] === "string" &&
    Number.isSafeInteger(value["ownerIncarnation"]) &&
    Array.isArray(value["keepers"]) &&
    value["keepers"].every((replica) => typeof replica === "string");
}

function isStoredShard(value: unknown): value is StoredShard {
  if (!isRecord(value)) return false;
  const predecessors = value["predecessors"];
  return isShardAssignment(value["assignment"]) &&
    Array.isArray(predecessors) && predecessors.every(isShardAssignment);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

function decodeValue(value: Uint8Array): unknown {
  try {
    return unpack(value);
  } catch {
    return undefined;
  }
}

/**
 * Charges summed into lines by the fields that a statement distinguishes, and
 * the batches of lines that a shard publishes.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  Charge,
  CostClass,
  Micros,
  Partner,
  PartnerAmount,
  Revision,
  ShardId,
} from "@camphorlock/types";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";

const FORMAT = 1;
const NUMBER_DIGITS = 10;

const packr = new Packr({ useRecords: false });

/** The sum of the charges with the same partner, team, class and agreement. */
export interface ChargeLine {
  readonly partner: Partner;
  readonly team?: string;
  readonly costClass: CostClass;
  readonly agreementRevision: Revision;
  readonly calls: number;
  readonly micros: Micros;
  /** Adds up to `micros`. */
  readonly split: readonly PartnerAmount[];
}

/**
 * The charges of one shard on one day, from the first of the day through the
 * entry `throughSequence`. A later batch of the day replaces an earlier one.
 */
export interface ChargeBatch {
  readonly shard: ShardId;
  /** Number of the batch in its shard, from 1 without gaps. */
  readonly number: number;
  /** ISO date in UTC on which the charges are booked. */
  readonly day: string;
  /** Charges of entries up to this sequence are in this or an earlier batch. */
  readonly throughSequence: number;
  readonly lines: readonly ChargeLine[];
}

/** Formats the platform key of a batch. Keys sort by number. */
export function formatBatchKey(shard: ShardId, number: number): string {
  const digits = String(number).padStart(NUMBER_DIGITS, "0");
  return `${formatBatchPrefix(shard)}${digits}`;
}

/** Formats the prefix of the keys of a shard's batches. */
export function formatBatchPrefix(shard: ShardId): string {
  return `charge/${shard}/`;
}

/** Parses the number in the key of a batch. */
export function parseBatchNumber(key: string): number | undefined {
  const match = /^charge\/\d+\/(\d{10})$/.exec(key);
  return match === null ? undefined : Number(match[1]);
}

/** Encodes a batch. */
export function encodeBatch(batch: ChargeBatch): Uint8Array {
  return packr.pack({ format: FORMAT, ...batch });
}

/** Decodes a batch. Fails with `PlatformConflict` on other values. */
export function decodeBatch(value: Uint8Array): Result<ChargeBatch, Failure> {
  try {
    const batch: unknown = packr.unpack(value);
    if (isBatch(batch)) return ok(batch);
  } catch {
    // Bytes that aren't msgpack fail like values of another shape.
  }
  return err(createFailure("PlatformConflict", "value isn't a charge batch"));
}

function isBatch(value: unknown): value is ChargeBatch {
  if (typeof value !== "object" || value === null) return false;
  const batch = value as Partial<ChargeBatch> & { readonly format?: unknown };
  return batch.format === FORMAT &&
    Number.isSafeInteger(batch.number) &&
    Number.isSafeInteger(batch.throughSequence) &&
    typeof batch.day === "string" &&
    Array.isArray(batch.lines);
}

/** Adds charges to lines. */
export function addCharges(
  lines: readonly ChargeLine[],
  charges: readonly Charge[],
): readonly ChargeLine[] {
  return mergeLines([...lines, ...charges.map(buildLine)]);
}

/** Merges the lines that differ only in their amounts. */
export function mergeLines(
  lines: readonly ChargeLine[],
): readonly ChargeLine[] {
  const merged = new Map<string, ChargeLine>();
  for (const line of lines) {
    const key = formatLineKey(line);
    const existing = merged.get(key);
    merged.set(key, existing === undefined ? line : sumLines(existing, line));
  }
  return [...merged.values()];
}

function buildLine(charge: Charge): ChargeLine {
  const { partner, team, costClass, agreementRevision, micros, split } = charge;
  const line = {
    partner,
    costClass,
    agreementRevision,
    calls: 1,
    micros,
    split,
  };
  return team === undefined ? line : { ...line, team };
}

function formatLineKey(line: ChargeLine): string {
  const { partner, team, costClass, agreementRevision } = line;
  return JSON.stringify([partner, team, costClass, agreementRevision]);
}

function sumLines(left: ChargeLine, right: ChargeLine): ChargeLine {
  return {
    ...left,
    calls: left.calls + right.calls,
    micros: left.micros + right.micros,
    split: sumAmounts([...left.split, ...right.split]),
  };
}

/** Sums amounts by partner. */
export function sumAmounts(
  amounts: readonly PartnerAmount[],
): readonly PartnerAmount[] {
  const sums = new Map<Partner, Micros>();
  for (const { partner, micros } of amounts) {
    sums.set(partner, (sums.get(partner) ?? 0) + micros);
  }
  return [...sums].map(([partner, micros]) => ({ partner, micros }));
}

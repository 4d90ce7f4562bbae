/**
 * Numbers and encodes the entries of an append, and checks their size.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { EntryBody, Epoch, ShardId } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { LedgerLimits } from "./ledger_types.ts";
import { encodeEntry } from "./segment.ts";
import type { EncodedEntry } from "./unstored_entries.ts";

/** The position of the entries in the log and the space left for them. */
export interface LogPosition {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly afterSequence: number;
  /** Encoded bytes of the entries that aren't stored yet. */
  readonly heldBytes: number;
  readonly limits: LedgerLimits;
}

const RETRY_WHEN_FULL_MS = 1_000;

/** Creates entries, or refuses with `EntryTooLarge` or `LedgerFull`. */
export function createEntries(
  bodies: readonly EntryBody[],
  position: LogPosition,
): Result<readonly EncodedEntry[], Failure> {
  const entries = bodies.map((body, index) =>
    createEntry(body, {
      ...position,
      sequence: position.afterSequence + index + 1,
    })
  );
  const refusal = checkSizes(entries, position);
  return refusal === undefined ? ok(entries) : err(refusal);
}

function createEntry(
  body: EntryBody,
  position: LogPosition & { readonly sequence: number },
): EncodedEntry {
  const { shard, epoch, sequence } = position;
  const entry = { shard, epoch, sequence, body };
  return { entry, value: encodeEntry(entry) };
}

function checkSizes(
  entries: readonly EncodedEntry[],
  position: LogPosition,
): Failure | undefined {
  const { limits, heldBytes, shard } = position;
  let added = 0;
  for (const { value } of entries) {
    if (value.length > limits.segmentBytes) {
      const detail = `${value.length} bytes, limit ${limits.segmentBytes}`;
      return createFailure("EntryTooLarge", detail);
    }
    added += value.length;
  }
  if (heldBytes + added <= limits.unstoredBytes) return undefined;
  const detail = `shard ${shard} holds ${heldBytes} unstored bytes`;
  return createFailure("LedgerFull", detail, RETRY_WHEN_FULL_MS);
}

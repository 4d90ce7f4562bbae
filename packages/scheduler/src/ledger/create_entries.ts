/**
 * Numbers and encodes the entries of an append, and checks their size.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type { EntryBody, Epoch, ShardId } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { LedgerLimits } from "./ledger_types.ts";
import { encodeEntry } from "./segment.ts";
import type { EncodedEntry } from "./unstored_entries.ts";

/** The place of the entries and the space that is left for them. */
export interface EntryPlace {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly afterSequence: number;
  /** Encoded bytes of the entries that aren't stored yet. */
  readonly heldBytes: number;
  readonly limits: LedgerLimits;
}

const RETRY_WHEN_FULL_MS = 1_000;

/** Makes entries, or refuses with `EntryTooLarge` or `LedgerFull`. */
export function createEntries(
  bodies: readonly EntryBody[],
  place: EntryPlace,
): Result<readonly EncodedEntry[], Failure> {
  const entries = bodies.map((body, index) =>
    createEntry(body, { ...place, sequence: place.afterSequence + index + 1 })
  );
  const refusal = checkSizes(entries, place);
  return refusal === undefined ? ok(entries) : err(refusal);
}

function createEntry(
  body: EntryBody,
  place: EntryPlace & { readonly sequence: number },
): EncodedEntry {
  const { shard, epoch, sequence } = place;
  const entry = { shard, epoch, sequence, body };
  return { entry, value: encodeEntry(entry) };
}

function checkSizes(
  entries: readonly EncodedEntry[],
  place: EntryPlace,
): Failure | undefined {
  const { limits, heldBytes, shard } = place;
  let added = 0;
  for (const { value } of entries) {
    if (value.length > limits.segmentBytes) {
      const detail = `${value.length} of ${limits.segmentBytes} bytes`;
      return createFailure("EntryTooLarge", detail);
    }
    added += value.length;
  }
  if (heldBytes + added <= limits.unstoredBytes) return undefined;
  const detail = `shard ${shard} holds ${heldBytes} bytes`;
  return createFailure("LedgerFull", detail, RETRY_WHEN_FULL_MS);
}

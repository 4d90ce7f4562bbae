/**
 * Reads the segments of a folder after a start.
 *
 * Only the last write to the last segment can be torn, and nothing in it was
 * acknowledged. Any other damage means that acknowledged turns may be missing:
 * unreadable bytes before a later write, or a file that holds less than the mark
 * of what was synced.
 */
import type { KeptTurn } from "../model/kept_turn.ts";
import { type DurableMark, loadMark } from "./durable_mark.ts";
import { type Gap, isKnownFormat, readRecords } from "./record_format.ts";
import { endSegment, listSegments, readSegment } from "./segment_files.ts";
import { decodeTurnRecords, type RecordClock } from "./turn_records.ts";

/** One segment after recovery. */
export interface RecoveredSegment {
  readonly number: number;
  readonly bytes: number;
  readonly turns: readonly KeptTurn[];
}

/** What recovery found in a folder. */
export interface Recovery {
  readonly segments: readonly RecoveredSegment[];
  /** Damage that may have lost acknowledged turns, as text for the log. */
  readonly damage: readonly string[];
  /** Bytes of an unfinished last write, which were discarded. */
  readonly discardedBytes: number;
}

/** Options of a recovery. */
export interface RecoveryOptions {
  readonly clock: RecordClock;
  /** Whether to seal the last segment, as before the next one is created. */
  readonly isSealing: boolean;
}

/** Reads all segments of a folder. Rejects when the folder can't be read. */
export async function restoreSegments(
  folder: string,
  options: RecoveryOptions,
): Promise<Recovery> {
  const numbers = await listSegments(folder);
  const segments: RecoveredSegment[] = [];
  const damage: string[] = [];
  let discardedBytes = 0;
  for (const [at, number] of numbers.entries()) {
    const isLast = at === numbers.length - 1;
    const next = numbers[at + 1];
    if (next !== undefined && next !== number + 1) {
      damage.push(`segments ${number + 1} to ${next - 1} are missing`);
    }
    const bytes = await readSegment(folder, number);
    const { records, gaps, readableBytes } = readRecords(bytes);
    const isSealed = records.at(-1)?.kind === "seal";
    if (!isKnownFormat(records) && !(isLast && records.length === 0)) {
      damage.push(`segment ${number} has an unknown format`);
    } else if (!isLast && !isSealed && gaps.length === 0) {
      damage.push(`segment ${number} is damaged at byte ${readableBytes}`);
    } else damage.push(...renderGaps(number, gaps));
    const { turns, damagedIds } = decodeTurnRecords(records, options.clock);
    for (const id of damagedIds) {
      damage.push(`turn ${id} in segment ${number} lacks a block`);
    }
    if (isLast) discardedBytes = bytes.length - readableBytes;
    // Cutting off what follows a gap would hide the damage.
    const endsInGap = gaps.some(({ fromByte }) => fromByte === readableBytes);
    if (isLast && !isSealed && !endsInGap && options.isSealing) {
      await endSegment(folder, { number, readableBytes });
    }
    segments.push({ number, bytes: readableBytes, turns });
  }
  damage.push(...checkMark(await loadMark(folder), segments));
  return { segments, damage, discardedBytes };
}

function renderGaps(number: number, gaps: readonly Gap[]): string[] {
  return gaps.map(({ fromByte, toByte }) =>
    `segment ${number} is damaged from byte ${fromByte} to ${toByte}`
  );
}

/** Compares what was found with what is known to have been synced. */
function checkMark(
  mark: DurableMark | undefined,
  segments: readonly RecoveredSegment[],
): string[] {
  if (mark === undefined) return [];
  const { segment, bytes } = mark;
  const found = segments.find(({ number }) => number === segment);
  // Later segments exist only once this one was written to its end.
  if (found === undefined) {
    return segments.some(({ number }) => number > segment)
      ? []
      : [`segment ${segment} is missing; ${bytes} bytes of it were synced`];
  }
  return found.bytes >= bytes ? [] : [
    `segment ${segment} ends at byte ${found.bytes}; ${bytes} were synced`,
  ];
}

/**
 * Maps turns to the records of one segment file and back.
 *
 * Conversations start from a few long instructions that many of them share, so
 * the first turn of a chain is cut into blocks, each of which a file holds once.
 */
import type { KeptTurn } from "../model/kept_turn.ts";
import { decodeRunner, encodeRunner } from "../model/turn_owner.ts";
import {
  computeBlockHash,
  encodeRecord,
  type SegmentRecord,
} from "./record_format.ts";

const BLOCK_BYTES = 2_048;

/** Encodes the turns of one file. */
export class TurnRecordEncoder {
  readonly #writtenBlocks = new Set<string>();

  /** Encodes a turn, with the blocks that the file doesn't hold yet. */
  encode(turn: KeptTurn, clock: RecordClock): Buffer {
    const { blocks, rest } = splitInput(turn);
    const encoded: Buffer[] = [];
    const hashes = blocks.map((bytes) => {
      const hash = computeBlockHash(bytes);
      if (!this.#writtenBlocks.has(hash)) {
        this.#writtenBlocks.add(hash);
        encoded.push(encodeRecord({ kind: "block", hash, bytes }));
      }
      return hash;
    });
    const { id, parentId, output, retentionMs, endedAtMs } = turn;
    encoded.push(encodeRecord({
      kind: "turn",
      id,
      parentId,
      blocks: hashes,
      rest,
      output,
      targetId: encodeRunner(turn),
      retentionMs,
      endedAtUnixMs: Math.round(clock.unixMs - (clock.nowMs - endedAtMs)),
    }));
    return Buffer.concat(encoded);
  }
}

/** The same moment on the wall clock and on the monotonic clock. */
export interface RecordClock {
  readonly unixMs: number;
  readonly nowMs: number;
}

/** Reads the present moment on both clocks. */
export function readClock(): RecordClock {
  return { unixMs: Date.now(), nowMs: performance.now() };
}

/** Decodes the turns of one file; a turn without its blocks is damaged. */
export function decodeTurnRecords(
  records: readonly SegmentRecord[],
  clock: RecordClock,
): { readonly turns: readonly KeptTurn[]; readonly damagedIds: string[] } {
  const turns: KeptTurn[] = [];
  const damagedIds: string[] = [];
  const inFile = new Map<string, Buffer>();
  for (const record of records) {
    if (record.kind === "block") {
      inFile.set(record.hash, record.bytes);
    }
    if (record.kind !== "turn") continue;
    const blocks = record.blocks.map((hash) => inFile.get(hash));
    if (blocks.includes(undefined)) {
      damagedIds.push(record.id);
      continue;
    }
    const ageMs = Math.max(0, clock.unixMs - record.endedAtUnixMs);
    turns.push({
      id: record.id,
      parentId: record.parentId ?? undefined,
      input: Buffer.concat([...blocks as Buffer[], record.rest]),
      output: Buffer.from(record.output),
      ...decodeRunner(record.targetId),
      retentionMs: record.retentionMs,
      endedAtMs: clock.nowMs - ageMs,
    });
  }
  return { turns, damagedIds };
}

function splitInput(turn: KeptTurn): { blocks: Buffer[]; rest: Buffer } {
  const { input, parentId } = turn;
  const count = parentId === undefined
    ? Math.floor(input.length / BLOCK_BYTES)
    : 0;
  const blocks = Array.from(
    { length: count },
    (_, at) => input.subarray(at * BLOCK_BYTES, (at + 1) * BLOCK_BYTES),
  );
  return { blocks, rest: input.subarray(count * BLOCK_BYTES) };
}

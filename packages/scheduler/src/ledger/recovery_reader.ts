/**
 * Reads a shard's newest snapshot and the segments after it.
 *
 * The end of the log is the first slot that is absent or still holds a segment
 * of an earlier lap. A segment of a later lap, or an absent part of the
 * snapshot, means that the log has advanced: the reader starts again.
 */
import type { Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformResponse,
  type PlatformToken,
  type ShardId,
} from "@camphorlock/types";
import { ok, type Result } from "neverthrow";
import { PlatformReads, type ReadResponse } from "./platform_reads.ts";
import { decodeSegment, formatSegmentKey, type Segment } from "./segment.ts";
import {
  decodeHead,
  formatHeadPrefix,
  formatPartKey,
  type SnapshotHead,
} from "./snapshot.ts";
import { StoredLog } from "./stored_log.ts";

/** The options of a recovery's reader. */
export interface RecoveryReaderOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly ringSize: number;
  readonly maxConcurrentReads: number;
  readonly platformTimeoutMs: number;
}

/** The progress of the reads. */
export type ReadProgress =
  | { readonly kind: "reading" }
  | {
    /** The next segment's slot is free and has this version. */
    readonly kind: "end_reached";
    readonly version: number;
  }
  | { readonly kind: "snapshot_read" }
  | { readonly kind: "superseded"; readonly epoch: Epoch }
  | { readonly kind: "damaged"; readonly failure: Failure };

type Purpose =
  | { readonly kind: "list_heads"; readonly after: string | undefined }
  | { readonly kind: "head" }
  | { readonly kind: "part"; readonly part: number }
  | { readonly kind: "segment"; readonly number: number };

/** The content of a slot that was read ahead. */
type ReadSlot =
  | { readonly kind: "segment"; readonly segment: Segment }
  | { readonly kind: "free"; readonly version: number };

const READING: ReadProgress = { kind: "reading" };
const HEADS_LIMIT = 500;

/** The reads of one recovery. */
export class RecoveryReader {
  readonly #options: RecoveryReaderOptions;
  readonly #reads: PlatformReads<Purpose>;
  readonly #slots = new Map<number, ReadSlot>();
  #log = new StoredLog(undefined);
  #head: SnapshotHead | undefined;
  #parts: (Uint8Array | undefined)[] = [];
  #newestHeadKey: string | undefined;
  /** Every segment before this one was requested. */
  #requestedBefore = 0;

  constructor(options: RecoveryReaderOptions) {
    this.#options = options;
    const maxConcurrent = options.maxConcurrentReads;
    this.#reads = new PlatformReads({ ...options, maxConcurrent });
    this.#listHeads(undefined);
  }

  /** The part of the log that was read. */
  get log(): StoredLog {
    return this.#log;
  }

  /** The head of the newest complete snapshot, if there is one. */
  get head(): SnapshotHead | undefined {
    return this.#head;
  }

  /** The snapshot's parts, once they are all read. */
  get parts(): readonly Uint8Array[] | undefined {
    const parts = this.#parts.filter((each) => each !== undefined);
    return parts.length === (this.#head?.partCount ?? 0) ? parts : undefined;
  }

  /** Sends the reads that are due. */
  sendDue(nowMs: number): Effect[] {
    return this.#reads.sendDue(nowMs);
  }

  /** Resumes at the previous end of the log. */
  resumeReading(): void {
    this.#readAhead();
  }

  /** Reads the snapshot's parts. */
  readParts(): void {
    const head = this.#head;
    if (head === undefined) return;
    this.#parts = new Array(head.partCount).fill(undefined);
    for (let part = 0; part < head.partCount; part += 1) {
      const key = formatPartKey(this.#options.shard, { ...head, part });
      this.#reads.add({ kind: "part", part }, { kind: "get", key });
    }
  }

  /** Applies the response to one of the reads. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformResponse },
    nowMs: number,
  ): ReadProgress {
    const read = this.#reads.handle(input, nowMs);
    if (read === undefined) return READING;
    const { purpose } = read;
    switch (purpose.kind) {
      case "list_heads":
        return this.#applyHeads(read);
      case "head":
        return this.#applyHead(read);
      case "part":
        return this.#applyPart(purpose.part, read.answer);
      case "segment":
        return this.#applySegment(purpose.number, read.answer);
      default:
        return checkNever(purpose);
    }
  }

  #listHeads(after: string | undefined): void {
    const prefix = formatHeadPrefix(this.#options.shard);
    const position = after === undefined ? {} : { after };
    this.#reads.add(
      { kind: "list_heads", after },
      { kind: "list", prefix, limit: HEADS_LIMIT, ...position },
    );
  }

  /** Starts again from the newest snapshot. */
  #startAgain(): ReadProgress {
    this.#reads.removeAll();
    this.#slots.clear();
    this.#requestedBefore = 0;
    this.#head = undefined;
    this.#parts = [];
    this.#newestHeadKey = undefined;
    this.#listHeads(undefined);
    return READING;
  }

  #applyHeads(read: ReadResponse<Purpose>): ReadProgress {
    const { answer: response } = read;
    if (response.kind !== "listed") return this.#startAgain();
    const last = response.keys.at(-1)?.key;
    this.#newestHeadKey = last ?? this.#newestHeadKey;
    if (response.keys.length === HEADS_LIMIT) {
      this.#listHeads(last);
      return READING;
    }
    return this.#readNewestHead();
  }

  #readNewestHead(): ReadProgress {
    const key = this.#newestHeadKey;
    if (key === undefined) {
      this.#log = new StoredLog(undefined);
      this.#readAhead();
      return READING;
    }
    this.#reads.add({ kind: "head" }, { kind: "get", key });
    return READING;
  }

  #applyHead(read: ReadResponse<Purpose>): ReadProgress {
    if (read.answer.kind !== "found") return this.#startAgain();
    const head = decodeHead(read.answer.object.value);
    if (head.isErr()) return { kind: "damaged", failure: head.error };
    this.#head = head.value;
    this.#log = new StoredLog(head.value);
    this.#readAhead();
    return READING;
  }

  #applyPart(part: number, response: PlatformResponse): ReadProgress {
    if (response.kind !== "found") return this.#startAgain();
    this.#parts[part] = response.object.value;
    return this.parts === undefined ? READING : { kind: "snapshot_read" };
  }

  /** Requests the segments that follow, up to a limit. */
  #readAhead(): void {
    const { shard, ringSize, maxConcurrentReads } = this.#options;
    const ahead = Math.min(maxConcurrentReads, this.#log.extents.length + 1);
    const end = this.#log.nextSegment + ahead;
    const first = Math.max(this.#log.nextSegment, this.#requestedBefore);
    for (let number = first; number < end; number += 1) {
      const key = formatSegmentKey(shard, number, ringSize);
      this.#reads.add({ kind: "segment", number }, { kind: "get", key });
    }
    this.#requestedBefore = end;
  }

  #applySegment(number: number, response: PlatformResponse): ReadProgress {
    const slot = decodeSlot(number, response);
    if (slot.isErr()) return { kind: "damaged", failure: slot.error };
    if (slot.value === undefined) return this.#startAgain();
    this.#slots.set(number, slot.value);
    return this.#applySlots();
  }

  /** Applies the slots read so far, in the order of the log. */
  #applySlots(): ReadProgress {
    let slot = this.#slots.get(this.#log.nextSegment);
    while (slot !== undefined) {
      if (slot.kind === "free") return this.#endReading(slot.version);
      const { segment } = slot;
      const { epoch } = segment;
      if (epoch > this.#options.epoch) return { kind: "superseded", epoch };
      this.#slots.delete(segment.number);
      const appended = this.#log.append(segment);
      if (appended.isErr()) return { kind: "damaged", failure: appended.error };
      slot = this.#slots.get(this.#log.nextSegment);
    }
    this.#readAhead();
    return READING;
  }

  #endReading(version: number): ReadProgress {
    this.#reads.removeAll();
    this.#slots.clear();
    this.#requestedBefore = 0;
    return { kind: "end_reached", version };
  }
}

/** Decodes the content of a slot; `undefined` if it's of a later lap. */
function decodeSlot(
  number: number,
  response: PlatformResponse,
): Result<ReadSlot | undefined, Failure> {
  if (response.kind !== "found") return ok({ kind: "free", version: 0 });
  const { value, version } = response.object;
  return decodeSegment(value).map((segment) => {
    if (segment.number > number) return undefined;
    if (segment.number < number) return { kind: "free", version };
    return { kind: "segment", segment };
  });
}

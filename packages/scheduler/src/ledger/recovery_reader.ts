/**
 * Reads a shard's newest snapshot and the segments after it.
 *
 * The end of the log is the first name that is absent or still holds a segment
 * of an earlier lap. A name that holds a later lap, or a snapshot's part that
 * is gone, shows that the log moved on meanwhile: the reader starts again.
 */
import type { Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformAnswer,
  type PlatformToken,
  type ShardId,
} from "@camphorlock/types";
import { ok, type Result } from "neverthrow";
import { PlatformReads, type ReadAnswer } from "./platform_reads.ts";
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
  readonly mostReadsAtOnce: number;
  readonly platformTimeoutMs: number;
}

/** Where reading has come to. */
export type ReaderNews =
  | { readonly kind: "reading" }
  | {
    /** The name of the next segment is free, at this version of it. */
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

/** A name that was read ahead of its turn. */
type ReadName =
  | { readonly kind: "segment"; readonly segment: Segment }
  | { readonly kind: "free"; readonly version: number };

const READING: ReaderNews = { kind: "reading" };
const HEADS_LIMIT = 500;

/** The reads of one recovery. */
export class RecoveryReader {
  readonly #options: RecoveryReaderOptions;
  readonly #reads: PlatformReads<Purpose>;
  readonly #names = new Map<number, ReadName>();
  #log = new StoredLog(undefined);
  #head: SnapshotHead | undefined;
  #parts: (Uint8Array | undefined)[] = [];
  #newestHead: string | undefined;
  /** Every segment before this one was asked for. */
  #requestedBefore = 0;

  constructor(options: RecoveryReaderOptions) {
    this.#options = options;
    const mostAtOnce = options.mostReadsAtOnce;
    this.#reads = new PlatformReads({ ...options, mostAtOnce });
    this.#listHeads(undefined);
  }

  /** What was read of the log. */
  get log(): StoredLog {
    return this.#log;
  }

  /** The head of the newest whole snapshot, if there is one. */
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

  /** Goes on reading where the log ended before. */
  readOn(): void {
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

  /** Applies the answer to one of the reads. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformAnswer },
    nowMs: number,
  ): ReaderNews {
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

  /** Begins from the newest snapshot once more. */
  #startAgain(): ReaderNews {
    this.#reads.removeAll();
    this.#names.clear();
    this.#requestedBefore = 0;
    this.#head = undefined;
    this.#parts = [];
    this.#newestHead = undefined;
    this.#listHeads(undefined);
    return READING;
  }

  #applyHeads(read: ReadAnswer<Purpose>): ReaderNews {
    const { answer } = read;
    if (answer.kind !== "listed") return this.#startAgain();
    const last = answer.keys.at(-1)?.key;
    this.#newestHead = last ?? this.#newestHead;
    if (answer.keys.length === HEADS_LIMIT) {
      this.#listHeads(last);
      return READING;
    }
    return this.#readNewestHead();
  }

  #readNewestHead(): ReaderNews {
    const key = this.#newestHead;
    if (key === undefined) {
      this.#log = new StoredLog(undefined);
      this.#readAhead();
      return READING;
    }
    this.#reads.add({ kind: "head" }, { kind: "get", key });
    return READING;
  }

  #applyHead(read: ReadAnswer<Purpose>): ReaderNews {
    if (read.answer.kind !== "found") return this.#startAgain();
    const head = decodeHead(read.answer.object.value);
    if (head.isErr()) return { kind: "damaged", failure: head.error };
    this.#head = head.value;
    this.#log = new StoredLog(head.value);
    this.#readAhead();
    return READING;
  }

  #applyPart(part: number, answer: PlatformAnswer): ReaderNews {
    if (answer.kind !== "found") return this.#startAgain();
    this.#parts[part] = answer.object.value;
    return this.parts === undefined ? READING : { kind: "snapshot_read" };
  }

  /** Reads the names that follow, a bounded number ahead. */
  #readAhead(): void {
    const { shard, ringSize, mostReadsAtOnce } = this.#options;
    const ahead = Math.min(mostReadsAtOnce, this.#log.extents.length + 1);
    const end = this.#log.nextSegment + ahead;
    const first = Math.max(this.#log.nextSegment, this.#requestedBefore);
    for (let number = first; number < end; number += 1) {
      const key = formatSegmentKey(shard, number, ringSize);
      this.#reads.add({ kind: "segment", number }, { kind: "get", key });
    }
    this.#requestedBefore = end;
  }

  #applySegment(number: number, answer: PlatformAnswer): ReaderNews {
    const name = decodeName(number, answer);
    if (name.isErr()) return { kind: "damaged", failure: name.error };
    if (name.value === undefined) return this.#startAgain();
    this.#names.set(number, name.value);
    return this.#applyNames();
  }

  /** Applies the names read so far in their order. */
  #applyNames(): ReaderNews {
    let name = this.#names.get(this.#log.nextSegment);
    while (name !== undefined) {
      if (name.kind === "free") return this.#endReading(name.version);
      const { segment } = name;
      const { epoch } = segment;
      if (epoch > this.#options.epoch) return { kind: "superseded", epoch };
      this.#names.delete(segment.number);
      const appended = this.#log.append(segment);
      if (appended.isErr()) return { kind: "damaged", failure: appended.error };
      name = this.#names.get(this.#log.nextSegment);
    }
    this.#readAhead();
    return READING;
  }

  #endReading(version: number): ReaderNews {
    this.#reads.removeAll();
    this.#names.clear();
    this.#requestedBefore = 0;
    return { kind: "end_reached", version };
  }
}

/** Decodes what a name holds; `undefined` when it's of a later lap. */
function decodeName(
  number: number,
  answer: PlatformAnswer,
): Result<ReadName | undefined, Failure> {
  if (answer.kind !== "found") return ok({ kind: "free", version: 0 });
  const { value, version } = answer.object;
  return decodeSegment(value).map((segment) => {
    if (segment.number > number) return undefined;
    if (segment.number < number) return { kind: "free", version };
    return { kind: "segment", segment };
  });
}

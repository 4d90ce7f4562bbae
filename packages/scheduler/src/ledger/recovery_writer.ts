/**
 * Writes a recovery's segments: the seal, then the entries that only keepers
 * held, and with the last of them the open record.
 */
import type {
  Effect,
  Epoch,
  LedgerEntry,
  PlatformAnswer,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";
import { Backoff } from "./backoff.ts";
import type { LedgerLimits } from "./ledger_types.ts";
import {
  type EncodedSegment,
  encodeEntry,
  type KeeperProcess,
  type OpenRecord,
  type Segment,
} from "./segment.ts";
import type { LogExtent } from "./segment_index.ts";
import { SegmentWriter } from "./segment_writer.ts";

/** The options of a recovery's writer. */
export interface RecoveryWriterOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly limits: LedgerLimits;
}

/** What a write brought. */
export type WriterNews =
  | { readonly kind: "pending" }
  | { readonly kind: "taken"; readonly epoch: Epoch }
  | { readonly kind: "sealed"; readonly segment: Segment }
  | {
    /** The log is open; these segments hold the last entries. */
    readonly kind: "opened";
    readonly extents: readonly LogExtent[];
  };

/** Where a tail begins and who keeps the entries after it. */
export interface TailStart {
  readonly keepers: readonly KeeperProcess[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
}

type PlannedSegment = Omit<EncodedSegment, "number">;

const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 5_000;

/** The writes of one recovery. */
export class RecoveryWriter {
  readonly #options: RecoveryWriterOptions;
  readonly #writer: SegmentWriter;
  #planned: PlannedSegment[] = [];
  #extents: LogExtent[] = [];
  /** The last entry that the segments written so far hold. */
  #throughSequence = 0;
  readonly #backoff: Backoff;

  constructor(options: RecoveryWriterOptions) {
    const { shard, epoch, limits } = options;
    this.#options = options;
    this.#backoff = new Backoff({
      firstPauseMs: FIRST_PAUSE_MS,
      longestPauseMs: LONGEST_PAUSE_MS,
      seed: shard,
    });
    this.#writer = new SegmentWriter({
      shard,
      epoch,
      role: "recovery",
      nextSegment: 0,
      ringSize: limits.ringSize,
      platformTimeoutMs: limits.platformTimeoutMs,
    });
  }

  /** The number of the segment that follows those written. */
  get nextSegment(): number {
    return this.#writer.nextSegment;
  }

  /** Goes to the end of the log, whose name has this version. */
  setPosition(nextSegment: number, version: number): void {
    this.#writer.setNextSegment(nextSegment);
    this.#writer.setVersion(nextSegment, version);
  }

  /** Begins to seal the log. */
  startSeal(): void {
    const { epoch } = this.#options;
    this.#writer.start({ epoch, role: "seal", entries: [] });
  }

  /** Segments that are planned and not stored. */
  get plannedCount(): number {
    return this.#planned.length;
  }

  /** Begins to write the tail; the last segment opens the log. */
  startTail(tail: readonly LedgerEntry[], start: TailStart): void {
    const { epoch } = this.#options;
    const open: OpenRecord = { epoch, keepers: start.keepers };
    this.#planned = this.#splitTail(tail, open);
    this.#throughSequence = start.storedThrough;
    this.#startPlanned();
  }

  /** Whether the token names the request under way. */
  isWaitingFor(token: PlatformToken): boolean {
    return this.#writer.isWaitingFor(token);
  }

  /** Treats a request without an answer as lost. */
  checkTimeout(nowMs: number): void {
    if (this.#writer.checkTimeout(nowMs)) this.#backoff.recordFailure(nowMs);
  }

  /** Sends the request that is needed, unless a pause is on. */
  sendDue(nowMs: number): Effect[] {
    if (this.#backoff.isPaused(nowMs)) return [];
    return this.#writer.sendNeeded(nowMs);
  }

  /** Applies the answer to the request under way. */
  handle(answer: PlatformAnswer, nowMs: number): WriterNews {
    if (answer.kind === "failed") this.#backoff.recordFailure(nowMs);
    else this.#backoff.recordSuccess();
    const outcome = this.#writer.handle(answer);
    if (outcome === undefined) return { kind: "pending" };
    if (outcome.kind === "taken") {
      return { kind: "taken", epoch: outcome.segment.epoch };
    }
    const { segment } = outcome;
    if (segment.role === "seal") {
      return { kind: "sealed", segment: { ...segment, entries: [] } };
    }
    return this.#applyStored(segment.number);
  }

  #applyStored(number: number): WriterNews {
    const stored = this.#planned.shift();
    this.#throughSequence += stored?.entries.length ?? 0;
    this.#extents.push({ number, throughSequence: this.#throughSequence });
    if (this.#planned.length === 0) {
      return { kind: "opened", extents: this.#extents };
    }
    this.#startPlanned();
    return { kind: "pending" };
  }

  /** Splits the tail; there's always a last segment, which opens the log. */
  #splitTail(tail: readonly LedgerEntry[], open: OpenRecord): PlannedSegment[] {
    const { epoch, limits } = this.#options;
    const groups = splitEntries(tail, limits.segmentBytes);
    return groups.map((entries, index) => {
      const isLast = index === groups.length - 1;
      return isLast
        ? { epoch, role: "open", open, entries }
        : { epoch, role: "entries", entries };
    });
  }

  #startPlanned(): void {
    const next = this.#planned[0];
    if (next !== undefined) this.#writer.start(next);
  }
}

/** Groups encoded entries by size; the last group may be empty. */
function splitEntries(
  entries: readonly LedgerEntry[],
  maxBytes: number,
): Uint8Array[][] {
  const groups: Uint8Array[][] = [];
  let group: Uint8Array[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const value = encodeEntry(entry);
    if (group.length > 0 && bytes + value.length > maxBytes) {
      groups.push(group);
      group = [];
      bytes = 0;
    }
    group.push(value);
    bytes += value.length;
  }
  return [...groups, group];
}

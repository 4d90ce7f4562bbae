/**
 * Writes a recovery's segments: the seal, then the entries that only replicas
 * held. The last segment contains the open record.
 */
import type {
  Effect,
  Epoch,
  LedgerEntry,
  PlatformResponse,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";
import { Backoff } from "./backoff.ts";
import type { LedgerLimits } from "./ledger_types.ts";
import {
  type EncodedSegment,
  encodeEntry,
  type OpenRecord,
  type ReplicaProcess,
  type Segment,
  sumLengths,
} from "./segment.ts";
import type { LogExtent } from "./segment_index.ts";
import { SegmentWriter } from "./segment_writer.ts";

/** The options of a recovery's writer. */
export interface RecoveryWriterOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly limits: LedgerLimits;
}

/** The outcome of a write. */
export type WriteOutcome =
  | { readonly kind: "pending" }
  | { readonly kind: "taken"; readonly epoch: Epoch }
  | { readonly kind: "sealed"; readonly segment: Segment }
  | {
    /** The log is open; these segments hold the last entries. */
    readonly kind: "opened";
    readonly extents: readonly LogExtent[];
  };

/** The position of the tail and the replicas of the entries after it. */
export interface TailStart {
  readonly keepers: readonly ReplicaProcess[];
  /** Entries up to here are on the platform. */
  readonly storedThrough: number;
}

type PlannedSegment = Omit<EncodedSegment, "number">;

const INITIAL_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;

/** The writes of one recovery. */
export class RecoveryWriter {
  readonly #options: RecoveryWriterOptions;
  readonly #writer: SegmentWriter;
  #planned: PlannedSegment[] = [];
  #extents: LogExtent[] = [];
  /** Sequence of the last entry in the segments written so far. */
  #throughSequence = 0;
  readonly #backoff: Backoff;

  constructor(options: RecoveryWriterOptions) {
    const { shard, epoch, limits } = options;
    this.#options = options;
    this.#backoff = new Backoff({
      initialPauseMs: INITIAL_PAUSE_MS,
      maxPauseMs: MAX_PAUSE_MS,
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

  /** The number of the next segment. */
  get nextSegment(): number {
    return this.#writer.nextSegment;
  }

  /** Sets the end of the log, where the slot has this version. */
  setPosition(nextSegment: number, version: number): void {
    this.#writer.setNextSegment(nextSegment);
    this.#writer.setVersion(nextSegment, version);
  }

  /** Starts to seal the log. */
  startSeal(): void {
    const { epoch } = this.#options;
    this.#writer.start({ epoch, role: "seal", entries: [] });
  }

  /** Number of segments that are planned but not stored. */
  get plannedCount(): number {
    return this.#planned.length;
  }

  /** Starts to write the tail; the last segment opens the log. */
  startTail(tail: readonly LedgerEntry[], start: TailStart): void {
    const { epoch } = this.#options;
    const open: OpenRecord = { epoch, keepers: start.keepers };
    this.#planned = this.#splitTail(tail, open);
    this.#throughSequence = start.storedThrough;
    this.#startPlanned();
  }

  /** Whether the token is that of the request in flight. */
  isWaitingFor(token: PlatformToken): boolean {
    return this.#writer.isWaitingFor(token);
  }

  /** Treats a request that timed out as lost. */
  checkTimeout(nowMs: number): void {
    if (this.#writer.checkTimeout(nowMs)) this.#backoff.recordFailure(nowMs);
  }

  /** Sends the next request, except during a back-off pause. */
  sendDue(nowMs: number): Effect[] {
    if (this.#backoff.isPaused(nowMs)) return [];
    return this.#writer.sendNext(nowMs);
  }

  /** Applies the response to the request in flight. */
  handle(response: PlatformResponse, nowMs: number): WriteOutcome {
    if (response.kind === "failed") this.#backoff.recordFailure(nowMs);
    else this.#backoff.recordSuccess();
    const outcome = this.#writer.handle(response);
    if (outcome === undefined) return { kind: "pending" };
    if (outcome.kind === "taken") {
      return { kind: "taken", epoch: outcome.segment.epoch };
    }
    const { segment } = outcome;
    if (segment.role === "seal") {
      const sealed: Segment = { ...segment, entries: [], bytes: 0 };
      return { kind: "sealed", segment: sealed };
    }
    return this.#applyStored(segment.number);
  }

  #applyStored(number: number): WriteOutcome {
    const stored = this.#planned.shift();
    const entries = stored?.entries ?? [];
    this.#throughSequence += entries.length;
    const throughSequence = this.#throughSequence;
    this.#extents.push({ number, throughSequence, bytes: sumLengths(entries) });
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

/**
 * Writes a shard's entries to the platform: one segment at a time, at a rate
 * that the node's shards share, and snapshots between them.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformResponse,
  type PlatformToken,
  type ShardId,
} from "@camphorlock/types";
import type { LedgerLimits, SnapshotContent } from "./ledger_types.ts";
import type { EncodedSegment, OpenRecord, SegmentRole } from "./segment.ts";
import { type LogExtent, SegmentIndex } from "./segment_index.ts";
import { SegmentWriter } from "./segment_writer.ts";
import type { SnapshotHead } from "./snapshot.ts";
import { SnapshotWriter } from "./snapshot_writer.ts";
import type { UnstoredEntries } from "./unstored_entries.ts";
import type { WritePacer, WriteUrgency } from "./write_pacer.ts";

/** The options of a committer. */
export interface LogCommitterOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly nextSegment: number;
  /** Segments that no snapshot covers yet. */
  readonly extents: readonly LogExtent[];
  readonly open: OpenRecord;
  readonly limits: LedgerLimits;
  readonly pacer: WritePacer;
}

/** What the committer has to write to the platform. */
export interface CommitDemand {
  readonly unstored: UnstoredEntries;
  /** How soon a segment is needed; `none` if there's nothing to write. */
  readonly urgency: WriteUrgency | "none";
  /** Whether to close the log after the last entry. */
  readonly isClosing: boolean;
  /** Creates a token that marks the start of a segment. */
  readonly createToken: () => number;
}

/** The outcome of a platform response. */
export type CommitOutcome =
  | { readonly kind: "pending" }
  | {
    readonly kind: "stored";
    readonly segment: EncodedSegment;
    /** Token that marks the start of the segment. */
    readonly startToken: number;
  }
  | { readonly kind: "taken"; readonly epoch: Epoch }
  | { readonly kind: "snapshot_stored"; readonly throughSequence: number };

/** Share of the ring that an owner may use; takeovers need the rest. */
const OWNER_RING_SHARE = 0.75;
/** Share that an owner may use while a snapshot waits for stored entries. */
const PENDING_RING_SHARE = 0.9;
/** Usage of the ring from which snapshots take priority over segments. */
const SNAPSHOT_FIRST_USAGE = 0.5;

/** Writes the segments and snapshots of one owned shard. */
export class LogCommitter {
  readonly #options: LogCommitterOptions;
  readonly #writer: SegmentWriter;
  readonly #snapshots: SnapshotWriter;
  readonly #index: SegmentIndex;
  #snapshot: SnapshotContent | undefined;
  #startToken = 0;
  #startedAtMs = Number.NEGATIVE_INFINITY;
  #hasStartedClose = false;
  /** Whether the current step requested a write from the pacer. */
  #hasRequest = false;

  constructor(options: LogCommitterOptions) {
    const { shard, epoch, nextSegment, limits } = options;
    const { ringSize, platformTimeoutMs } = limits;
    this.#options = options;
    this.#index = new SegmentIndex(options.extents);
    this.#snapshots = new SnapshotWriter({ shard, epoch, platformTimeoutMs });
    this.#writer = new SegmentWriter({
      shard,
      epoch,
      role: "ledger",
      nextSegment,
      ringSize,
      platformTimeoutMs,
    });
    options.pacer.addWriter(shard);
  }

  /** Usage of the owner's share of the ring; 1 when the share is full. */
  get usage(): number {
    const ring = this.#options.limits.ringSize * OWNER_RING_SHARE;
    return this.#index.count / ring;
  }

  /** Whether the last segment may be on the platform. */
  get hasStartedClose(): boolean {
    return this.#hasStartedClose;
  }

  /** Whether a new snapshot is due. */
  get needsSnapshot(): boolean {
    const { limits } = this.#options;
    const isLong = this.#index.count >= limits.snapshotAfterSegments ||
      this.#index.bytes >= limits.snapshotAfterBytes;
    return isLong && !this.#hasSnapshot;
  }

  /** Accepts a snapshot, whose last entry may not be stored yet. */
  startSnapshot(content: SnapshotContent): void {
    if (this.#hasSnapshot) return;
    this.#snapshot = content;
  }

  /** Records which entries a stored segment holds. */
  recordStored(extent: LogExtent): void {
    this.#index.append(extent);
  }

  /** Releases the shard's part of the write rate. */
  stop(): void {
    this.#options.pacer.removeWriter(this.#options.shard);
  }

  /** Treats requests that timed out as lost. */
  checkTimeouts(nowMs: number): void {
    this.#snapshots.checkTimeout(nowMs);
    if (!this.#writer.checkTimeout(nowMs)) return;
    const lost = { kind: "failed", reason: "lost" } as const;
    this.#options.pacer.recordResponse(lost, nowMs);
  }

  /** Sends the requests that are due and that the pacer grants. */
  sendDue(demand: CommitDemand, nowMs: number): Effect[] {
    this.#startStoredSnapshot(demand.unstored.storedThrough);
    this.#hasRequest = false;
    const isSnapshotFirst = this.usage >= SNAPSHOT_FIRST_USAGE;
    const early = isSnapshotFirst ? this.#sendSnapshot(nowMs) : [];
    const segment = this.#writer.isBusy
      ? this.#resumeSegment(demand, nowMs)
      : this.#startSegment(demand, nowMs);
    const late = isSnapshotFirst ? [] : this.#sendSnapshot(nowMs);
    if (!this.#hasRequest) this.#options.pacer.cancelWrite(this.#options.shard);
    return [...early, ...segment, ...late];
  }

  /** Applies the platform's response to one of the requests. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformResponse },
    nowMs: number,
  ): CommitOutcome {
    const { token, answer: response } = input;
    const isSegment = this.#writer.isWaitingFor(token);
    const isSnapshot = this.#snapshots.isWaitingFor(token);
    if (!isSegment && !isSnapshot) return { kind: "pending" };
    this.#options.pacer.recordResponse(response, nowMs);
    return isSegment
      ? this.#applySegmentResponse(response)
      : this.#applySnapshotResponse(response);
  }

  get #isRingFull(): boolean {
    const isPending = this.#snapshot !== undefined;
    const share = isPending ? PENDING_RING_SHARE : OWNER_RING_SHARE;
    return this.#index.count >= this.#options.limits.ringSize * share;
  }

  get #hasSnapshot(): boolean {
    return this.#snapshot !== undefined || this.#snapshots.isBusy;
  }

  #acquireWrite(urgency: WriteUrgency, nowMs: number): boolean {
    const { pacer, shard } = this.#options;
    this.#hasRequest = true;
    return pacer.acquireWrite(shard, urgency, nowMs);
  }

  /** Starts a segment of the unstored entries when the pacer grants a write. */
  #startSegment(demand: CommitDemand, nowMs: number): Effect[] {
    const { urgency } = demand;
    const { pacer } = this.#options;
    if (urgency === "none" || this.#isRingFull) return [];
    const isEarly = nowMs - this.#startedAtMs < pacer.intervalMs;
    if (urgency === "regular" && isEarly) return [];
    if (!this.#acquireWrite(urgency, nowMs)) return [];
    this.#startToken = demand.createToken();
    this.#startedAtMs = nowMs;
    const segment = this.#createSegment(demand);
    this.#hasStartedClose = segment.role === "close";
    this.#writer.start(segment);
    return this.#writer.sendNext(nowMs);
  }

  /** Continues a segment that isn't settled. */
  #resumeSegment(demand: CommitDemand, nowMs: number): Effect[] {
    const { pacer } = this.#options;
    const next = this.#writer.nextRequest;
    if (next === undefined || pacer.isPaused(nowMs)) return [];
    const urgency = demand.urgency === "urgent" ? "urgent" : "regular";
    const isGranted = next === "get" ||
      this.#acquireWrite(urgency, nowMs);
    return isGranted ? this.#writer.sendNext(nowMs) : [];
  }

  #createSegment(demand: CommitDemand): Omit<EncodedSegment, "number"> {
    const { unstored, isClosing } = demand;
    const entries = unstored.list({
      afterSequence: unstored.storedThrough,
      maxBytes: this.#options.limits.segmentBytes,
    });
    const through = unstored.storedThrough + entries.length;
    const isLast = through === unstored.lastSequence;
    const role: SegmentRole = isClosing && isLast ? "close" : "entries";
    const values = entries.map((each) => each.value);
    return { epoch: this.#options.epoch, role, entries: values };
  }

  /** Starts the snapshot once the platform has every entry of it. */
  #startStoredSnapshot(storedThrough: number): void {
    const content = this.#snapshot;
    if (content === undefined) return;
    const { throughSequence, parts } = content;
    if (throughSequence > storedThrough) return;
    this.#snapshot = undefined;
    const head: SnapshotHead = {
      epoch: this.#options.epoch,
      throughSequence,
      nextSegment: this.#index.findFirstAfter(throughSequence) ??
        this.#writer.nextSegment,
      partCount: parts.length,
      open: this.#options.open,
    };
    this.#snapshots.start(head, parts);
  }

  #sendSnapshot(nowMs: number): Effect[] {
    const { pacer } = this.#options;
    const next = this.#snapshots.nextRequest;
    if (next === undefined || pacer.isPaused(nowMs)) return [];
    const isGranted = next === "read" ||
      this.#acquireWrite("regular", nowMs);
    return isGranted ? this.#snapshots.sendNext(nowMs) : [];
  }

  #applySegmentResponse(response: PlatformResponse): CommitOutcome {
    const outcome = this.#writer.handle(response);
    if (outcome === undefined) return { kind: "pending" };
    switch (outcome.kind) {
      case "taken":
        return { kind: "taken", epoch: outcome.segment.epoch };
      case "stored":
        return {
          kind: "stored",
          segment: outcome.segment,
          startToken: this.#startToken,
        };
      default:
        return checkNever(outcome);
    }
  }

  #applySnapshotResponse(response: PlatformResponse): CommitOutcome {
    const head = this.#snapshots.handle(response);
    if (head === undefined) return { kind: "pending" };
    this.#index.removeBefore(head.nextSegment);
    const { throughSequence } = head;
    return { kind: "snapshot_stored", throughSequence };
  }
}

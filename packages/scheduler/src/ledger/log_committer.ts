/**
 * Carries a shard's entries to the platform: one segment at a time, at the
 * pace that the node's shards share, and snapshots between them.
 */
import {
  checkNever,
  type Effect,
  type Epoch,
  type PlatformAnswer,
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

/** What the committer is to bring to the platform. */
export interface CommitDemand {
  readonly unstored: UnstoredEntries;
  /** How soon a segment is wanted; `none` when there's nothing to say. */
  readonly urgency: WriteUrgency | "none";
  /** Whether the log ends with the entries at hand. */
  readonly isClosing: boolean;
  /** Marks the moment when a segment is begun. */
  readonly takeToken: () => number;
}

/** What the platform's answer meant. */
export type CommitNews =
  | { readonly kind: "pending" }
  | {
    readonly kind: "stored";
    readonly segment: EncodedSegment;
    /** Token of the moment when the segment was begun. */
    readonly beganToken: number;
  }
  | { readonly kind: "taken"; readonly epoch: Epoch }
  | { readonly kind: "snapshot_stored"; readonly throughSequence: number };

/** Share of the ring that an owner fills; takeovers need the rest. */
const OWNER_RING_SHARE = 0.75;
/** Share that it may fill with what a pending snapshot waits for. */
const PENDING_RING_SHARE = 0.9;
/** Usage of the ring from which snapshots go before segments. */
const SNAPSHOT_FIRST_USAGE = 0.5;

/** Writes the segments and snapshots of one owned shard. */
export class LogCommitter {
  readonly #options: LogCommitterOptions;
  readonly #writer: SegmentWriter;
  readonly #snapshots: SnapshotWriter;
  readonly #index: SegmentIndex;
  #snapshot: SnapshotContent | undefined;
  #beganToken = 0;
  #begunAtMs = Number.NEGATIVE_INFINITY;
  #hasBegunClose = false;
  /** Whether the pacer was asked for a write in the present step. */
  #hasAsked = false;

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

  /** Share of the ring that is in use, from 0 to 1. */
  get usage(): number {
    const ring = this.#options.limits.ringSize * OWNER_RING_SHARE;
    return this.#index.count / ring;
  }

  /** Whether the last segment may be on the platform. */
  get hasBegunClose(): boolean {
    return this.#hasBegunClose;
  }

  /** Whether a new snapshot is due. */
  get needsSnapshot(): boolean {
    return !this.#hasSnapshot &&
      this.#index.count >= this.#options.limits.snapshotAfterSegments;
  }

  /** Takes a snapshot; its last entry may still be on its way. */
  startSnapshot(content: SnapshotContent): void {
    if (this.#hasSnapshot) return;
    this.#snapshot = content;
  }

  /** Notes which entries a stored segment holds. */
  recordStored(extent: LogExtent): void {
    this.#index.append(extent);
  }

  /** Gives back the shard's part of the write rate. */
  stop(): void {
    this.#options.pacer.removeWriter(this.#options.shard);
  }

  /** Treats requests without an answer as lost. */
  checkTimeouts(nowMs: number): void {
    this.#snapshots.checkTimeout(nowMs);
    if (!this.#writer.checkTimeout(nowMs)) return;
    const lost = { kind: "failed", reason: "lost" } as const;
    this.#options.pacer.recordAnswer(lost, nowMs);
  }

  /** Sends the requests that are due and that the pacer grants. */
  sendDue(demand: CommitDemand, nowMs: number): Effect[] {
    this.#openSnapshot(demand.unstored.storedThrough);
    this.#hasAsked = false;
    const isSnapshotFirst = this.usage >= SNAPSHOT_FIRST_USAGE;
    const early = isSnapshotFirst ? this.#sendSnapshot(nowMs) : [];
    const segment = this.#writer.isBusy
      ? this.#sendAgain(demand, nowMs)
      : this.#sendFirst(demand, nowMs);
    const late = isSnapshotFirst ? [] : this.#sendSnapshot(nowMs);
    if (!this.#hasAsked) this.#options.pacer.cancelWrite(this.#options.shard);
    return [...early, ...segment, ...late];
  }

  /** Applies the platform's answer to one of the requests. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformAnswer },
    nowMs: number,
  ): CommitNews {
    const { token, answer } = input;
    const isSegment = this.#writer.isWaitingFor(token);
    const isSnapshot = this.#snapshots.isWaitingFor(token);
    if (!isSegment && !isSnapshot) return { kind: "pending" };
    this.#options.pacer.recordAnswer(answer, nowMs);
    return isSegment
      ? this.#applySegmentAnswer(answer)
      : this.#applySnapshotAnswer(answer);
  }

  get #isRingFull(): boolean {
    const isPending = this.#snapshot !== undefined;
    const share = isPending ? PENDING_RING_SHARE : OWNER_RING_SHARE;
    return this.#index.count >= this.#options.limits.ringSize * share;
  }

  get #hasSnapshot(): boolean {
    return this.#snapshot !== undefined || this.#snapshots.isBusy;
  }

  #takeWrite(urgency: WriteUrgency, nowMs: number): boolean {
    const { pacer, shard } = this.#options;
    this.#hasAsked = true;
    return pacer.takeWrite(shard, urgency, nowMs);
  }

  /** Begins a segment with what is at hand when its turn has come. */
  #sendFirst(demand: CommitDemand, nowMs: number): Effect[] {
    const { urgency } = demand;
    const { pacer } = this.#options;
    if (urgency === "none" || this.#isRingFull) return [];
    const isEarly = nowMs - this.#begunAtMs < pacer.intervalMs;
    if (urgency === "regular" && isEarly) return [];
    if (!this.#takeWrite(urgency, nowMs)) return [];
    this.#beganToken = demand.takeToken();
    this.#begunAtMs = nowMs;
    const segment = this.#createSegment(demand);
    this.#hasBegunClose = segment.role === "close";
    this.#writer.start(segment);
    return this.#writer.sendNeeded(nowMs);
  }

  /** Goes on with a segment that isn't settled. */
  #sendAgain(demand: CommitDemand, nowMs: number): Effect[] {
    const { pacer } = this.#options;
    const needed = this.#writer.neededRequest;
    if (needed === undefined || pacer.isPaused(nowMs)) return [];
    const urgency = demand.urgency === "urgent" ? "urgent" : "regular";
    const isGranted = needed === "get" ||
      this.#takeWrite(urgency, nowMs);
    return isGranted ? this.#writer.sendNeeded(nowMs) : [];
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

  /** Begins the snapshot once the platform has every entry of it. */
  #openSnapshot(storedThrough: number): void {
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
    const needed = this.#snapshots.neededRequest;
    if (needed === undefined || pacer.isPaused(nowMs)) return [];
    const isGranted = needed === "read" ||
      this.#takeWrite("regular", nowMs);
    return isGranted ? this.#snapshots.sendNeeded(nowMs) : [];
  }

  #applySegmentAnswer(answer: PlatformAnswer): CommitNews {
    const outcome = this.#writer.handle(answer);
    if (outcome === undefined) return { kind: "pending" };
    switch (outcome.kind) {
      case "taken":
        return { kind: "taken", epoch: outcome.segment.epoch };
      case "stored":
        return {
          kind: "stored",
          segment: outcome.segment,
          beganToken: this.#beganToken,
        };
      default:
        return checkNever(outcome);
    }
  }

  #applySnapshotAnswer(answer: PlatformAnswer): CommitNews {
    const head = this.#snapshots.handle(answer);
    if (head === undefined) return { kind: "pending" };
    this.#index.removeBefore(head.nextSegment);
    const { throughSequence } = head;
    return { kind: "snapshot_stored", throughSequence };
  }
}

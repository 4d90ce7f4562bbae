/**
 * The part of a shard's log that a recovery has read from the platform.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { checkNever, type Epoch, type LedgerEntry } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { OpenRecord, Segment } from "./segment.ts";
import type { LogExtent } from "./segment_index.ts";
import type { SnapshotHead } from "./snapshot.ts";

/** The entries after the snapshot, and the latest open record. */
export class StoredLog {
  #entries: LedgerEntry[] = [];
  #extents: LogExtent[] = [];
  #open: OpenRecord | undefined;
  #isClosed = false;
  #sealedBy: Epoch = 0;
  #lastSequence: number;
  #nextSegment: number;

  constructor(head: SnapshotHead | undefined) {
    this.#open = head?.open;
    this.#lastSequence = head?.throughSequence ?? 0;
    this.#nextSegment = head?.nextSegment ?? 0;
  }

  /** The entries after the snapshot. */
  get entries(): readonly LedgerEntry[] {
    return this.#entries;
  }

  /** The segments read. */
  get extents(): readonly LogExtent[] {
    return this.#extents;
  }

  /** The latest open record. */
  get open(): OpenRecord | undefined {
    return this.#open;
  }

  /** Whether the latest owner has closed the log. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** The epoch of the latest seal. */
  get sealedBy(): Epoch {
    return this.#sealedBy;
  }

  /** The sequence of the last entry read. */
  get lastSequence(): number {
    return this.#lastSequence;
  }

  /** The number of the segment to read next. */
  get nextSegment(): number {
    return this.#nextSegment;
  }

  /** Appends the next segment. */
  append(segment: Segment): Result<void, Failure> {
    for (const entry of segment.entries) {
      if (entry.sequence <= this.#lastSequence) continue;
      if (entry.sequence > this.#lastSequence + 1) {
        const detail = `log entry ${this.#lastSequence + 1} is missing`;
        return err(createFailure("SegmentUnreadable", detail));
      }
      this.#entries.push(entry);
      this.#lastSequence = entry.sequence;
    }
    this.#applyRole(segment);
    this.#extents.push({
      number: segment.number,
      throughSequence: this.#lastSequence,
      bytes: segment.bytes,
    });
    this.#nextSegment = segment.number + 1;
    return ok(undefined);
  }

  /** Appends entries that only replicas held. */
  appendTail(entries: readonly LedgerEntry[]): void {
    this.#entries.push(...entries);
    this.#lastSequence += entries.length;
  }

  #applyRole(segment: Segment): void {
    switch (segment.role) {
      case "entries":
        return;
      case "seal":
        this.#sealedBy = segment.epoch;
        return;
      case "close":
        this.#isClosed = segment.epoch === this.#open?.epoch;
        return;
      case "open":
        this.#open = segment.open;
        this.#isClosed = false;
        return;
      default:
        checkNever(segment.role);
    }
  }
}

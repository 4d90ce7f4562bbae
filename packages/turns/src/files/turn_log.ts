/**
 * The log of one disk: turns appended to segment files, durable before they are
 * acknowledged.
 *
 * All turns that wait while a write is in progress share the next write and its
 * sync, so that the disk's sync time bounds the delay, not the rate. After a
 * failed write the segment is cut back to what is durable and a new one begins.
 */
import { randomUUID } from "node:crypto";
import type { FileHandle } from "node:fs/promises";
import type { KeptTurn } from "../model/kept_turn.ts";
import { removeMark, saveMark } from "./durable_mark.ts";
import { encodeHead, encodeRecord } from "./record_format.ts";
import { createSegment, endSegment, removeSegment } from "./segment_files.ts";
import { readClock, TurnRecordEncoder } from "./turn_records.ts";

/** A segment that reaches this size is followed by a new one. */
const SEGMENT_BYTES = 4 * 1_024 * 1_024;
/** A segment older than this is followed by a new one, so that it can go. */
const SEGMENT_MS = 20_000;
/** Content that may wait for the disk before further turns are refused. */
const MAX_WAITING_BYTES = 8 * 1_024 * 1_024;
/** Pause after a failed write, in which turns are refused at once. */
const FAILURE_PAUSE_MS = 300;

/** Shortest time between two marks of what was synced. */
const MARK_INTERVAL_MS = 1_000;
/** On a slow disk, marks take at most about this share of the time. */
const MAX_MARK_SHARE = 0.05;

/** The result of an append. */
export type AppendResult =
  | { readonly kind: "durable"; readonly segment: number }
  | { readonly kind: "refused"; readonly reason: "full" | "busy" }
  | { readonly kind: "failed"; readonly detail: string };

/** Options of a log. */
export interface TurnLogOptions {
  readonly folder: string;
  /** Bytes that all segments may take together. */
  readonly maxBytes: number;
  /** Sizes of the segments that recovery found, by number. */
  readonly segments: ReadonlyMap<number, number>;
  /** Creates a segment's file; a bench gives one whose syncs are slow. */
  readonly createFile?: typeof createSegment;
  /** Receives why the mark of what was synced couldn't be saved. */
  readonly recordMarkFailure?: (detail: string) => void;
}

interface WaitingTurns {
  readonly turns: readonly KeptTurn[];
  readonly bytes: number;
  readonly resolve: (result: AppendResult) => void;
}

interface CurrentSegment {
  readonly number: number;
  readonly nonce: string;
  readonly file: FileHandle;
  readonly encoder: TurnRecordEncoder;
  readonly openedAtMs: number;
  bytes: number;
}

/** Appends turns to the segments of a folder. */
export class TurnLog {
  readonly #options: TurnLogOptions;
  /** Sizes by number, the current segment included. */
  readonly #segments: Map<number, number>;
  #waiting: WaitingTurns[] = [];
  #waitingBytes = 0;
  #isWriting = false;
  #current: CurrentSegment | undefined;
  /** The segment of a failed write, which isn't sealed yet. */
  #unsealed: { readonly number: number; readonly bytes: number } | undefined;
  #failedUntilMs = Number.NEGATIVE_INFINITY;
  #nextMarkAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: TurnLogOptions) {
    this.#options = options;
    this.#segments = new Map(options.segments);
  }

  /** Bytes of all segments. */
  get bytes(): number {
    return [...this.#segments.values()].reduce((sum, each) => sum + each, 0);
  }

  /** The oldest segment that isn't written to any more. */
  get oldestClosed(): number | undefined {
    const [oldest] = [...this.#segments.keys()].sort((a, b) => a - b);
    return oldest === this.#current?.number ? undefined : oldest;
  }

  /** Appends turns; resolves when they are durable or certainly not kept. */
  append(turns: readonly KeptTurn[]): Promise<AppendResult> {
    const bytes = turns.reduce(
      (sum, { input, output }) => sum + input.length + output.length,
      0,
    );
    if (this.#waitingBytes + bytes > MAX_WAITING_BYTES) {
      return Promise.resolve({ kind: "refused", reason: "busy" });
    }
    if (this.bytes + this.#waitingBytes + bytes > this.#options.maxBytes) {
      return Promise.resolve({ kind: "refused", reason: "full" });
    }
    if (performance.now() < this.#failedUntilMs) {
      return Promise.resolve({
        kind: "failed",
        detail: "the last write failed",
      });
    }
    this.#waitingBytes += bytes;
    return new Promise((resolve) => {
      this.#waiting.push({ turns, bytes, resolve });
      void this.#writeWaiting();
    });
  }

  /** Closes the current segment's file; the log isn't used afterwards. */
  async close(): Promise<void> {
    const { file } = this.#current ?? {};
    this.#current = undefined;
    await file?.close();
  }

  /** Removes a closed segment; rejects when the disk refuses. */
  async remove(number: number): Promise<void> {
    await removeMark(this.#options.folder, number);
    await removeSegment(this.#options.folder, number);
    this.#segments.delete(number);
  }

  async #writeWaiting(): Promise<void> {
    if (this.#isWriting) return;
    this.#isWriting = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      const result = await this.#writeBatch(batch);
      for (const each of batch) {
        this.#waitingBytes -= each.bytes;
        each.resolve(result);
      }
      await this.#saveMark();
    }
    this.#isWriting = false;
  }

  /** Marks what was synced, once in a while. */
  async #saveMark(): Promise<void> {
    const { folder, recordMarkFailure } = this.#options;
    const nowMs = performance.now();
    if (this.#current === undefined) return;
    if (nowMs < this.#nextMarkAtMs) return;
    const { number: segment, bytes } = this.#current;
    try {
      await saveMark(folder, { segment, bytes });
    } catch (error) {
      // An older mark proves less, but nothing wrong.
      recordMarkFailure?.(String(error));
    }
    const endedAtMs = performance.now();
    const pauseMs = (endedAtMs - nowMs) / MAX_MARK_SHARE;
    this.#nextMarkAtMs = endedAtMs + Math.max(MARK_INTERVAL_MS, pauseMs);
  }

  async #writeBatch(batch: readonly WaitingTurns[]): Promise<AppendResult> {
    try {
      const segment = await this.#openSegment();
      const clock = readClock();
      await this.#write(
        segment,
        batch.flatMap(({ turns }) =>
          turns.map((turn) => segment.encoder.encode(turn, clock))
        ),
      );
      return { kind: "durable", segment: segment.number };
    } catch (error) {
      await this.#closeFailedSegment();
      return { kind: "failed", detail: String(error) };
    }
  }

  /** Ends the use of a segment; what was written last is unknown. */
  async #closeFailedSegment(): Promise<void> {
    this.#failedUntilMs = performance.now() + FAILURE_PAUSE_MS;
    if (this.#current === undefined) return;
    const { number, bytes, file } = this.#current;
    this.#unsealed = { number, bytes };
    this.#current = undefined;
    // The write's failure is reported; a failure to close adds nothing to it.
    await file.close().catch(() => {});
  }

  async #openSegment(): Promise<CurrentSegment> {
    const current = this.#current;
    if (current !== undefined) {
      const ageMs = performance.now() - current.openedAtMs;
      if (current.bytes < SEGMENT_BYTES && ageMs < SEGMENT_MS) return current;
      await this.#write(current, [encodeRecord({ kind: "seal" })]);
      await current.file.close();
      this.#current = undefined;
    }
    if (this.#unsealed !== undefined) {
      const { number, bytes } = this.#unsealed;
      await endSegment(this.#options.folder, { number, readableBytes: bytes });
      this.#unsealed = undefined;
    }
    const { folder, createFile = createSegment } = this.#options;
    const number = Math.max(0, ...this.#segments.keys()) + 1;
    this.#segments.set(number, 0);
    const segment: CurrentSegment = {
      number,
      nonce: randomUUID(),
      file: await createFile(folder, number),
      encoder: new TurnRecordEncoder(),
      openedAtMs: performance.now(),
      bytes: 0,
    };
    this.#current = segment;
    await this.#append(segment, encodeHead(segment.nonce));
    return segment;
  }

  /** Writes records as one write, which a reader can find after damage. */
  async #write(
    segment: CurrentSegment,
    records: readonly Buffer[],
  ): Promise<void> {
    const { nonce, bytes: at } = segment;
    const start = encodeRecord({ kind: "write", nonce, at });
    await this.#append(segment, Buffer.concat([start, ...records]));
  }

  async #append(segment: CurrentSegment, bytes: Buffer): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const result = await segment.file.write(
        bytes,
        written,
        bytes.length - written,
        segment.bytes + written,
      );
      written += result.bytesWritten;
    }
    await segment.file.datasync();
    segment.bytes += bytes.length;
    this.#segments.set(segment.number, segment.bytes);
  }
}

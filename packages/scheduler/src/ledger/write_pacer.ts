/**
 * Shares a node's part of the platform's write rate between its shards.
 *
 * Writers wait in two queues, urgent ones first, each in order of arrival. The
 * rate is halved when the platform limits it and recovers step by step. While
 * the platform fails, one writer at a time probes it with exponential back-off.
 */
import type { PlatformResponse, ShardId } from "@camphorlock/types";
import { Backoff } from "./backoff.ts";

/** How soon a writer needs a write. */
export type WriteUrgency = "urgent" | "regular";

/** The options of a pacer. */
export interface WritePacerOptions {
  /** Writes per second that this node may use. */
  readonly writesPerSecond: number;
  /** Differs between nodes, so that they don't all probe at once. */
  readonly seed?: number;
}

interface QueuedWriter {
  urgency: WriteUrgency;
  requestedAtMs: number;
}

const BURST_SECONDS = 0.25;
const MIN_RATE_SHARE = 1 / 16;
const RATE_STEP_SHARE = 1 / 64;
const INITIAL_PAUSE_MS = 250;
const MAX_PAUSE_MS = 8_000;
/** A writer whose last request is older than this leaves the queue. */
const REQUEST_LIFETIME_MS = 2_000;
const MIN_INTERVAL_MS = 50;
/** Share of the rate that segments use; the rest is for snapshots. */
const SEGMENT_SHARE = 0.75;

/** Grants platform writes to the shards of one node. */
export class WritePacer {
  #fullRate: number;
  #rate: number;
  #tokens: number;
  #filledAtMs: number | undefined;
  readonly #backoff: Backoff;
  readonly #queue = new Map<ShardId, QueuedWriter>();
  readonly #writers = new Set<ShardId>();

  constructor(options: WritePacerOptions) {
    this.#fullRate = options.writesPerSecond;
    this.#rate = options.writesPerSecond;
    this.#tokens = 1;
    this.#backoff = new Backoff({
      initialPauseMs: INITIAL_PAUSE_MS,
      maxPauseMs: MAX_PAUSE_MS,
      seed: options.seed ?? 0,
    });
  }

  /** The current rate in writes per second. */
  get writesPerSecond(): number {
    return this.#rate;
  }

  /** Time between two segments of a shard when every shard writes. */
  get intervalMs(): number {
    const segmentRate = this.#rate * SEGMENT_SHARE;
    const interval = this.#writers.size * 1000 / segmentRate;
    return Math.max(MIN_INTERVAL_MS, interval);
  }

  /** Whether the platform failed and the next probe isn't due. */
  isPaused(nowMs: number): boolean {
    return this.#backoff.isPaused(nowMs);
  }

  /** Changes the node's part of the rate, as the fleet grows or shrinks. */
  setFullRate(writesPerSecond: number): void {
    this.#rate *= writesPerSecond / this.#fullRate;
    this.#fullRate = writesPerSecond;
  }

  /** Adds a shard, which lengthens the interval. */
  addWriter(shard: ShardId): void {
    this.#writers.add(shard);
  }

  /** Removes a shard that this node no longer owns. */
  removeWriter(shard: ShardId): void {
    this.#writers.delete(shard);
    this.#queue.delete(shard);
  }

  /** Grants one write, or keeps the shard in the queue. */
  acquireWrite(shard: ShardId, urgency: WriteUrgency, nowMs: number): boolean {
    this.#updateTokens(nowMs);
    this.#updateQueue(shard, { urgency, requestedAtMs: nowMs });
    if (this.isPaused(nowMs)) return false;
    if (this.#countAhead(shard, nowMs) + 1 > this.#tokens) return false;
    this.#tokens -= 1;
    this.#queue.delete(shard);
    if (this.#backoff.isFailing) this.#backoff.startPause(nowMs);
    return true;
  }

  /** Removes the shard from the queue, because it needs no write now. */
  cancelWrite(shard: ShardId): void {
    this.#queue.delete(shard);
  }

  /** Adapts to the platform's response to a write. */
  recordResponse(response: PlatformResponse, nowMs: number): void {
    if (response.kind !== "failed") {
      this.#recordSuccess();
      return;
    }
    if (response.reason === "rate_limited") {
      this.#rate = Math.max(this.#rate / 2, this.#fullRate * MIN_RATE_SHARE);
      this.#tokens = Math.min(this.#tokens, 0);
      return;
    }
    this.#backoff.recordFailure(nowMs);
  }

  #recordSuccess(): void {
    const step = this.#fullRate * RATE_STEP_SHARE;
    this.#rate = Math.min(this.#fullRate, this.#rate + step);
    this.#backoff.recordSuccess();
  }

  #updateTokens(nowMs: number): void {
    const elapsedMs = nowMs - (this.#filledAtMs ?? nowMs);
    const capacity = Math.max(1, this.#rate * BURST_SECONDS);
    const filled = this.#tokens + elapsedMs * this.#rate / 1000;
    this.#tokens = Math.min(capacity, filled);
    this.#filledAtMs = nowMs;
  }

  #updateQueue(shard: ShardId, writer: QueuedWriter): void {
    const queued = this.#queue.get(shard);
    if (queued === undefined) {
      this.#queue.set(shard, writer);
      return;
    }
    queued.requestedAtMs = writer.requestedAtMs;
    queued.urgency = writer.urgency;
  }

  /** Counts the writers ahead of the shard and evicts expired ones. */
  #countAhead(shard: ShardId, nowMs: number): number {
    const own = this.#queue.get(shard);
    let ahead = 0;
    let isPastOwn = false;
    for (const [other, writer] of this.#queue) {
      if (other === shard) {
        isPastOwn = true;
        continue;
      }
      if (nowMs - writer.requestedAtMs > REQUEST_LIFETIME_MS) {
        this.#queue.delete(other);
        continue;
      }
      if (writer.urgency === own?.urgency) ahead += isPastOwn ? 0 : 1;
      else if (writer.urgency === "urgent") ahead += 1;
    }
    return ahead;
  }
}

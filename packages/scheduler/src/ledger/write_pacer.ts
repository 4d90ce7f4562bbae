/**
 * Shares a node's part of the platform's write rate between its shards.
 *
 * Writers wait in two queues, urgent ones first, each in the order of arrival.
 * The rate is halved when the platform limits it and returns step by step;
 * while the platform fails, one writer at a time probes it after pauses that
 * double up to a bound.
 */
import type { PlatformAnswer, ShardId } from "@camphorlock/types";
import { Backoff } from "./backoff.ts";

/** How soon a writer needs its turn. */
export type WriteUrgency = "urgent" | "regular";

/** The options of a pacer. */
export interface WritePacerOptions {
  /** Writes a second that this node may use. */
  readonly writesPerSecond: number;
  /** Tells nodes apart, so that they don't all probe at once. */
  readonly seed?: number;
}

interface WaitingWriter {
  urgency: WriteUrgency;
  askedAtMs: number;
}

const BURST_SECONDS = 0.25;
const LOWEST_SHARE = 1 / 16;
const RATE_STEP_SHARE = 1 / 64;
const FIRST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 8_000;
/** A writer that asked longer ago than this lost its place in the queue. */
const PLACE_LIFE_MS = 2_000;
const SHORTEST_INTERVAL_MS = 50;
/** Share of the rate that segments use; the rest is for snapshots. */
const SEGMENT_SHARE = 0.75;

/** Grants platform writes to the shards of one node. */
export class WritePacer {
  #fullRate: number;
  #rate: number;
  #tokens: number;
  #filledAtMs: number | undefined;
  readonly #backoff: Backoff;
  readonly #waiting = new Map<ShardId, WaitingWriter>();
  readonly #writers = new Set<ShardId>();

  constructor(options: WritePacerOptions) {
    this.#fullRate = options.writesPerSecond;
    this.#rate = options.writesPerSecond;
    this.#tokens = 1;
    this.#backoff = new Backoff({
      firstPauseMs: FIRST_PAUSE_MS,
      longestPauseMs: LONGEST_PAUSE_MS,
      seed: options.seed ?? 0,
    });
  }

  /** Writes a second granted at present. */
  get writesPerSecond(): number {
    return this.#rate;
  }

  /** Time between two segments of a shard when every shard writes. */
  get intervalMs(): number {
    const segmentRate = this.#rate * SEGMENT_SHARE;
    const interval = this.#writers.size * 1000 / segmentRate;
    return Math.max(SHORTEST_INTERVAL_MS, interval);
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

  /** Counts a shard in the interval. */
  addWriter(shard: ShardId): void {
    this.#writers.add(shard);
  }

  /** Forgets a shard that this node no longer owns. */
  removeWriter(shard: ShardId): void {
    this.#writers.delete(shard);
    this.#waiting.delete(shard);
  }

  /** Grants one write, or keeps the shard's place in the queue. */
  takeWrite(shard: ShardId, urgency: WriteUrgency, nowMs: number): boolean {
    this.#updateTokens(nowMs);
    this.#setPlace(shard, { urgency, askedAtMs: nowMs });
    if (this.isPaused(nowMs)) return false;
    if (this.#countBefore(shard, nowMs) + 1 > this.#tokens) return false;
    this.#tokens -= 1;
    this.#waiting.delete(shard);
    if (this.#backoff.isFailing) this.#backoff.startPause(nowMs);
    return true;
  }

  /** Gives up the shard's place, because it needs no write any more. */
  cancelWrite(shard: ShardId): void {
    this.#waiting.delete(shard);
  }

  /** Adapts to the platform's answer to a write. */
  recordAnswer(answer: PlatformAnswer, nowMs: number): void {
    if (answer.kind !== "failed") {
      this.#recordSuccess();
      return;
    }
    if (answer.reason === "rate_limited") {
      this.#rate = Math.max(this.#rate / 2, this.#fullRate * LOWEST_SHARE);
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
    const most = Math.max(1, this.#rate * BURST_SECONDS);
    const filled = this.#tokens + elapsedMs * this.#rate / 1000;
    this.#tokens = Math.min(most, filled);
    this.#filledAtMs = nowMs;
  }

  #setPlace(shard: ShardId, writer: WaitingWriter): void {
    const held = this.#waiting.get(shard);
    if (held === undefined) {
      this.#waiting.set(shard, writer);
      return;
    }
    held.askedAtMs = writer.askedAtMs;
    held.urgency = writer.urgency;
  }

  /** Counts the writers whose turn comes first. */
  #countBefore(shard: ShardId, nowMs: number): number {
    const own = this.#waiting.get(shard);
    let before = 0;
    let reached = false;
    for (const [other, writer] of this.#waiting) {
      if (other === shard) {
        reached = true;
        continue;
      }
      if (nowMs - writer.askedAtMs > PLACE_LIFE_MS) {
        this.#waiting.delete(other);
        continue;
      }
      if (writer.urgency === own?.urgency) before += reached ? 0 : 1;
      else if (writer.urgency === "urgent") before += 1;
    }
    return before;
  }
}

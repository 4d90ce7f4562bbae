/**
 * Platform reads of a recovery: a bounded number is in flight, and each is
 * retried with exponential back-off until it succeeds.
 */
import type {
  Effect,
  Epoch,
  PlatformRequest,
  PlatformResponse,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";
import { Backoff } from "./backoff.ts";
import { computeRequestNumber } from "./request_number.ts";

/** The options of a recovery's reads. */
export interface PlatformReadsOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly maxConcurrent: number;
  readonly platformTimeoutMs: number;
}

/** A response with the purpose of its read. */
export interface ReadResponse<Purpose> {
  readonly purpose: Purpose;
  readonly answer: PlatformResponse;
}

interface PendingRead<Purpose> {
  readonly purpose: Purpose;
  readonly request: PlatformRequest;
  pending: { readonly number: number; readonly sentAtMs: number } | undefined;
}

const INITIAL_PAUSE_MS = 100;
const MAX_PAUSE_MS = 5_000;

/** Outstanding reads, each with a purpose. */
export class PlatformReads<Purpose> {
  readonly #options: PlatformReadsOptions;
  #reads: PendingRead<Purpose>[] = [];
  #counter = 0;
  readonly #backoff: Backoff;

  constructor(options: PlatformReadsOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      initialPauseMs: INITIAL_PAUSE_MS,
      maxPauseMs: MAX_PAUSE_MS,
      seed: options.shard,
    });
  }

  /** Number of reads without a response. */
  get count(): number {
    return this.#reads.length;
  }

  /** Adds a read; `sendDue` sends it. */
  add(purpose: Purpose, request: PlatformRequest): void {
    this.#reads.push({ purpose, request, pending: undefined });
  }

  /** Removes every read. */
  removeAll(): void {
    this.#reads = [];
  }

  /** Sends the reads that may be in flight now. */
  sendDue(nowMs: number): Effect[] {
    this.#checkTimeouts(nowMs);
    if (this.#backoff.isPaused(nowMs)) return [];
    const inFlight = this.#reads.filter((read) => read.pending !== undefined);
    const room = Math.max(0, this.#options.maxConcurrent - inFlight.length);
    return this.#reads
      .filter((read) => read.pending === undefined)
      .slice(0, room)
      .map((read) => this.#send(read, nowMs));
  }

  /** Returns the read that a response settles; a failed read is retried. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformResponse },
    nowMs: number,
  ): ReadResponse<Purpose> | undefined {
    const read = this.#reads.find((each) =>
      each.pending?.number === input.token.number
    );
    if (read === undefined) return undefined;
    read.pending = undefined;
    if (input.answer.kind === "failed") {
      this.#backoff.recordFailure(nowMs);
      return undefined;
    }
    this.#backoff.recordSuccess();
    this.#reads = this.#reads.filter((each) => each !== read);
    return { purpose: read.purpose, answer: input.answer };
  }

  #send(read: PendingRead<Purpose>, nowMs: number): Effect {
    const { shard, epoch } = this.#options;
    this.#counter += 1;
    const number = computeRequestNumber(epoch, {
      stream: "read",
      counter: this.#counter,
    });
    read.pending = { number, sentAtMs: nowMs };
    const token: PlatformToken = { role: "recovery", shard, number };
    return { kind: "call_platform", token, request: read.request };
  }

  #checkTimeouts(nowMs: number): void {
    for (const read of this.#reads) {
      const sentAtMs = read.pending?.sentAtMs ?? nowMs;
      if (nowMs - sentAtMs < this.#options.platformTimeoutMs) continue;
      read.pending = undefined;
      this.#backoff.recordFailure(nowMs);
    }
  }
}

/**
 * Reads of a recovery: a bounded number at a time, each repeated until it's
 * answered, with pauses that double while the platform fails.
 */
import type {
  Effect,
  Epoch,
  PlatformAnswer,
  PlatformRequest,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";
import { Backoff } from "./backoff.ts";
import { computeTokenNumber } from "./request_number.ts";

/** The options of a recovery's reads. */
export interface PlatformReadsOptions {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly mostAtOnce: number;
  readonly platformTimeoutMs: number;
}

/** An answer with the purpose that its read was given. */
export interface ReadAnswer<Purpose> {
  readonly purpose: Purpose;
  readonly answer: PlatformAnswer;
}

interface Read<Purpose> {
  readonly purpose: Purpose;
  readonly request: PlatformRequest;
  pending: { readonly number: number; readonly sentAtMs: number } | undefined;
}

const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 5_000;

/** Outstanding reads, each with a purpose. */
export class PlatformReads<Purpose> {
  readonly #options: PlatformReadsOptions;
  #reads: Read<Purpose>[] = [];
  #counter = 0;
  readonly #backoff: Backoff;

  constructor(options: PlatformReadsOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      firstPauseMs: FIRST_PAUSE_MS,
      longestPauseMs: LONGEST_PAUSE_MS,
      seed: options.shard,
    });
  }

  /** Reads that aren't answered. */
  get count(): number {
    return this.#reads.length;
  }

  /** Adds a read; `sendDue` sends it. */
  add(purpose: Purpose, request: PlatformRequest): void {
    this.#reads.push({ purpose, request, pending: undefined });
  }

  /** Forgets every read. */
  removeAll(): void {
    this.#reads = [];
  }

  /** Sends what may be sent now. */
  sendDue(nowMs: number): Effect[] {
    this.#checkTimeouts(nowMs);
    if (this.#backoff.isPaused(nowMs)) return [];
    const underWay = this.#reads.filter((read) => read.pending !== undefined);
    const room = Math.max(0, this.#options.mostAtOnce - underWay.length);
    return this.#reads
      .filter((read) => read.pending === undefined)
      .slice(0, room)
      .map((read) => this.#send(read, nowMs));
  }

  /** Finds the read that an answer settles; a failed one is kept. */
  handle(
    input: { readonly token: PlatformToken; readonly answer: PlatformAnswer },
    nowMs: number,
  ): ReadAnswer<Purpose> | undefined {
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

  #send(read: Read<Purpose>, nowMs: number): Effect {
    const { shard, epoch } = this.#options;
    this.#counter += 1;
    const number = computeTokenNumber(epoch, {
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

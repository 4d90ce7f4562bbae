/**
 * Publishes the charges of one shard from its ledger to the platform.
 *
 * The ledger itself is the outbox: a charge exists exactly when its call's end
 * is durable. Batches have consecutive numbers, are created only if absent, and
 * state the last ledger entry that they cover. The next batch starts after that
 * entry. Each charge is therefore published once, however many owners publish,
 * however often they retry, and whether or not a response is lost.
 */
import {
  type CallId,
  type Charge,
  checkNever,
  type Effect,
  type PlatformRequest,
  type PlatformResponse,
  type PlatformToken,
  type ShardId,
} from "@camphorlock/types";
import {
  addCharges,
  type ChargeBatch,
  decodeBatch,
  encodeBatch,
  formatBatchKey,
  formatBatchPrefix,
  parseBatchNumber,
} from "./charge_lines.ts";
import type {
  OutboxInput,
  OutboxOptions,
  OutboxStep,
  PendingCharge,
} from "./outbox_input.ts";

/** The usual time from one batch of a shard to the next. */
export const PUBLISH_EVERY_MS = 60_000;

const RETRY_MS = 1_000;
const RESPONSE_TIMEOUT_MS = 10_000;
const PAGE_SIZE = 1_000;
const ISO_DATE_LENGTH = 10;

type OutboxState =
  | { readonly kind: "listing"; readonly after: number }
  | { readonly kind: "reading"; readonly number: number }
  | { readonly kind: "writing"; readonly batch: ChargeBatch }
  | { readonly kind: "idle" };

/** The charges of one shard that aren't published yet. */
export class ChargeOutbox {
  readonly #shard: ShardId;
  readonly #publishEveryMs: number;
  #pending: PendingCharge[] = [];
  readonly #pendingCalls = new Set<CallId>();
  #last: ChargeBatch;
  #state: OutboxState;
  #dueAtMs = 0;
  #requestNumber = 0;
  #openNumber: number | undefined;
  #openUntilMs = 0;

  constructor(options: OutboxOptions) {
    this.#shard = options.shard;
    this.#publishEveryMs = options.publishEveryMs ?? PUBLISH_EVERY_MS;
    this.#last = buildEmptyBatch(options.shard);
    this.#state = { kind: "listing", after: (options.storedNumber ?? 1) - 1 };
  }

  /** Charges of entries up to this sequence are published. */
  get publishedThrough(): number {
    return this.#last.throughSequence;
  }

  /** Number of the last batch observed as stored, for a ledger snapshot. */
  get lastNumber(): number {
    return this.#last.number;
  }

  /**
   * Lists the charges that aren't published yet. A snapshot of the ledger that
   * replaces their entries has to contain them.
   */
  listPending(): readonly PendingCharge[] {
    return [...this.#pending];
  }

  /** Handles one input and returns the resulting effects. */
  handle(input: OutboxInput, nowMs: number): OutboxStep {
    switch (input.kind) {
      case "call_ended":
        this.#addPending(input.sequence, input.charge);
        return { effects: [] };
      case "platform":
        if (input.token.number !== this.#openNumber) return { effects: [] };
        this.#openNumber = undefined;
        return { effects: this.#handleResponse(input.answer, nowMs) };
      case "tick":
        return { effects: this.#handleTick(nowMs) };
      default:
        return checkNever(input);
    }
  }

  #addPending(sequence: number, charge: Charge): void {
    if (sequence <= this.publishedThrough) return;
    const last = this.#pending.at(-1)?.sequence ?? 0;
    if (sequence <= last) return;
    if (this.#pendingCalls.has(charge.callId)) return;
    this.#pendingCalls.add(charge.callId);
    this.#pending.push({ sequence, charge });
  }

  #handleTick(nowMs: number): readonly Effect[] {
    if (this.#openNumber !== undefined) {
      if (nowMs < this.#openUntilMs) return [];
      this.#openNumber = undefined;
      return this.#handleResponse({ kind: "failed", reason: "lost" }, nowMs);
    }
    if (nowMs < this.#dueAtMs) return [];
    switch (this.#state.kind) {
      case "listing":
        return this.#list(this.#state.after, nowMs);
      case "reading":
        return this.#read(this.#state.number, nowMs);
      case "writing":
        return this.#write(this.#state.batch, nowMs);
      case "idle":
        return this.#publishBatch(nowMs);
      default:
        return checkNever(this.#state);
    }
  }

  #handleResponse(
    response: PlatformResponse,
    nowMs: number,
  ): readonly Effect[] {
    switch (this.#state.kind) {
      case "listing":
        return this.#handleList(response, nowMs);
      case "reading":
        return this.#handleBatch(response, nowMs);
      case "writing":
        return this.#handleWritten(this.#state.batch, response, nowMs);
      case "idle":
        return [];
      default:
        return checkNever(this.#state);
    }
  }

  #list(after: number, nowMs: number): readonly Effect[] {
    this.#state = { kind: "listing", after };
    return this.#send({
      kind: "list",
      prefix: formatBatchPrefix(this.#shard),
      after: formatBatchKey(this.#shard, after),
      limit: PAGE_SIZE,
    }, nowMs);
  }

  #handleList(response: PlatformResponse, nowMs: number): readonly Effect[] {
    if (response.kind !== "listed") return this.#scheduleRetry(nowMs);
    const numbers = response.keys.flatMap(({ key }) => {
      return parseBatchNumber(key) ?? [];
    });
    const highest = numbers.at(-1);
    if (highest === undefined) return this.#endList(nowMs);
    if (response.keys.length >= PAGE_SIZE) return this.#list(highest, nowMs);
    return this.#read(highest, nowMs);
  }

  #endList(nowMs: number): readonly Effect[] {
    const after = this.#state.kind === "listing" ? this.#state.after : 0;
    if (after > this.#last.number) return this.#read(after, nowMs);
    return this.#scheduleNextBatch(nowMs);
  }

  #read(number: number, nowMs: number): readonly Effect[] {
    this.#state = { kind: "reading", number };
    const key = formatBatchKey(this.#shard, number);
    return this.#send({ kind: "get", key }, nowMs);
  }

  #handleBatch(response: PlatformResponse, nowMs: number): readonly Effect[] {
    if (response.kind === "absent") return this.#list(this.#last.number, nowMs);
    if (response.kind !== "found") return this.#scheduleRetry(nowMs);
    const batch = decodeBatch(response.object.value);
    if (batch.isErr()) return this.#scheduleRetry(nowMs);
    this.#setLast(batch.value);
    return this.#scheduleNextBatch(nowMs);
  }

  #publishBatch(nowMs: number): readonly Effect[] {
    const first = this.#pending[0];
    if (first === undefined) return [];
    return this.#write(this.#buildBatch(first), nowMs);
  }

  /** Builds a batch for one day; days never decrease between batches. */
  #buildBatch(first: PendingCharge): ChargeBatch {
    const day = this.#chooseDay(first);
    const end = this.#pending.findIndex((each) => {
      return this.#chooseDay(each) !== day;
    });
    const included = end < 0 ? this.#pending : this.#pending.slice(0, end);
    const before = day === this.#last.day ? this.#last.lines : [];
    return {
      shard: this.#shard,
      number: this.#last.number + 1,
      day,
      throughSequence: included.at(-1)?.sequence ?? this.publishedThrough,
      lines: addCharges(before, included.map((each) => each.charge)),
    };
  }

  #chooseDay(pending: PendingCharge): string {
    const day = formatDay(pending.charge.endedAtMs);
    return day > this.#last.day ? day : this.#last.day;
  }

  #write(batch: ChargeBatch, nowMs: number): readonly Effect[] {
    this.#state = { kind: "writing", batch };
    return this.#send({
      kind: "put",
      key: formatBatchKey(this.#shard, batch.number),
      value: encodeBatch(batch),
      condition: { kind: "absent" },
    }, nowMs);
  }

  #handleWritten(
    batch: ChargeBatch,
    response: PlatformResponse,
    nowMs: number,
  ): readonly Effect[] {
    if (response.kind === "conflict") return this.#read(batch.number, nowMs);
    // Retries with the same bytes until the key exists.
    if (response.kind !== "stored") return this.#scheduleRetry(nowMs);
    const replaced = this.#last;
    this.#setLast(batch);
    const effects = this.#removeReplaced(replaced, batch);
    this.#scheduleNextBatch(nowMs);
    return effects;
  }

  /** Deletes the batch that a later one of the same day replaces. */
  #removeReplaced(replaced: ChargeBatch, by: ChargeBatch): readonly Effect[] {
    if (replaced.number === 0 || replaced.day !== by.day) return [];
    const key = formatBatchKey(this.#shard, replaced.number);
    const condition = { kind: "any" } as const;
    this.#requestNumber += 1;
    const token = this.#buildToken();
    const request = { kind: "delete", key, condition } as const;
    return [{ kind: "call_platform", token, request }];
  }

  #setLast(batch: ChargeBatch): void {
    this.#last = batch;
    const firstKept = this.#pending.findIndex((each) => {
      return each.sequence > batch.throughSequence;
    });
    const count = firstKept < 0 ? this.#pending.length : firstKept;
    for (const { charge } of this.#pending.splice(0, count)) {
      this.#pendingCalls.delete(charge.callId);
    }
  }

  #scheduleNextBatch(nowMs: number): readonly Effect[] {
    this.#state = { kind: "idle" };
    this.#dueAtMs = nowMs + this.#publishEveryMs;
    return [];
  }

  #scheduleRetry(nowMs: number): readonly Effect[] {
    this.#dueAtMs = nowMs + RETRY_MS;
    return [];
  }

  #send(request: PlatformRequest, nowMs: number): readonly Effect[] {
    this.#requestNumber += 1;
    this.#openNumber = this.#requestNumber;
    this.#openUntilMs = nowMs + RESPONSE_TIMEOUT_MS;
    return [{ kind: "call_platform", token: this.#buildToken(), request }];
  }

  #buildToken(): PlatformToken {
    return { role: "charge", shard: this.#shard, number: this.#requestNumber };
  }
}

function buildEmptyBatch(shard: ShardId): ChargeBatch {
  return { shard, number: 0, day: "", throughSequence: 0, lines: [] };
}

/** Formats a wall-clock time as an ISO date in UTC. */
function formatDay(atMs: number): string {
  return new Date(atMs).toISOString().slice(0, ISO_DATE_LENGTH);
}

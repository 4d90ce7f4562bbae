/**
 * The charges of one shard: from the ends of its calls to the outbox that
 * publishes them.
 *
 * A charge is passed on once its entry is durable. A snapshot that replaces
 * entries carries the charges that aren't published yet.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationValue,
  Effect,
  PlatformAnswer,
  PlatformToken,
  ShardId,
} from "@camphorlock/types";
import { Packr } from "msgpackr";
import { Result } from "neverthrow";
import {
  buildCharge,
  ChargeOutbox,
  type EndedCall,
  type PendingCharge,
} from "../agreement/mod.ts";
import type { CallCharges } from "../owner/mod.ts";

const packr = new Packr({ useRecords: false });

/** The charges of a shard that aren't published yet. */
export class ShardCharges implements CallCharges {
  readonly #outbox: ChargeOutbox;
  readonly #getValue: () => ConfigurationValue;
  #undurable: PendingCharge[] = [];

  constructor(shard: ShardId, getValue: () => ConfigurationValue) {
    this.#outbox = new ChargeOutbox({ shard });
    this.#getValue = getValue;
  }

  /** Records the end of a call at its place in the ledger. */
  recordEnded(sequence: number, ended: EndedCall): void {
    const charge = buildCharge(this.#getValue(), ended);
    this.#undurable.push({ sequence, charge });
  }

  /** Passes the charges on whose entries have become durable. */
  applyDurable(through: number, nowMs: number): void {
    const durable = this.#undurable
      .filter((pending) => pending.sequence <= through);
    if (durable.length === 0) return;
    this.#undurable = this.#undurable
      .filter((pending) => pending.sequence > through);
    for (const pending of durable) this.#add(pending, nowMs);
  }

  /** Handles the platform's answer to a batch. */
  handleAnswer(
    token: PlatformToken,
    answer: PlatformAnswer,
    nowMs: number,
  ): readonly Effect[] {
    const input = { kind: "platform", token, answer } as const;
    return this.#outbox.handle(input, nowMs).effects;
  }

  /** Publishes what is due. */
  handleTick(nowMs: number): readonly Effect[] {
    return this.#outbox.handle({ kind: "tick" }, nowMs).effects;
  }

  /** Encodes the charges that a snapshot has to carry. */
  encodeSnapshot(): Uint8Array {
    return packr.pack([...this.#outbox.listPending(), ...this.#undurable]);
  }

  /** Takes the charges of a snapshot. */
  loadSnapshot(pending: readonly PendingCharge[], nowMs: number): void {
    for (const each of pending) this.#add(each, nowMs);
  }

  #add(pending: PendingCharge, nowMs: number): void {
    const { sequence, charge } = pending;
    this.#outbox.handle({ kind: "call_ended", sequence, charge }, nowMs);
  }
}

/** Decodes the charges that a snapshot carries. */
export const decodeCharges: (
  part: Uint8Array,
) => Result<PendingCharge[], Failure> = Result.fromThrowable(
  (part: Uint8Array) => packr.unpack(part) as PendingCharge[],
  (error) => createFailure("SegmentUnreadable", `charges: ${error}`),
);

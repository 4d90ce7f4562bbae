/**
 * The charges of one shard, from the end of a call to the outbox that publishes
 * the charge.
 *
 * A charge enters the outbox once its ledger entry is durable. A snapshot that
 * replaces entries contains the charges that aren't published yet.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationValue,
  Effect,
  PlatformResponse,
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
  #nonDurable: PendingCharge[] = [];

  constructor(shard: ShardId, getValue: () => ConfigurationValue) {
    this.#outbox = new ChargeOutbox({ shard });
    this.#getValue = getValue;
  }

  /** Records the end of a call, with the sequence number of its entry. */
  recordEnded(sequence: number, ended: EndedCall): void {
    const charge = buildCharge(this.#getValue(), ended);
    this.#nonDurable.push({ sequence, charge });
  }

  /** Adds the charges whose entries are now durable to the outbox. */
  applyDurable(through: number, nowMs: number): void {
    const durable = this.#nonDurable
      .filter((pending) => pending.sequence <= through);
    if (durable.length === 0) return;
    this.#nonDurable = this.#nonDurable
      .filter((pending) => pending.sequence > through);
    for (const pending of durable) this.#add(pending, nowMs);
  }

  /** Handles the platform's response to a published batch. */
  handleResponse(
    token: PlatformToken,
    response: PlatformResponse,
    nowMs: number,
  ): readonly Effect[] {
    const input = { kind: "platform", token, answer: response } as const;
    return this.#outbox.handle(input, nowMs).effects;
  }

  /** Publishes the charges that are due. */
  handleTick(nowMs: number): readonly Effect[] {
    return this.#outbox.handle({ kind: "tick" }, nowMs).effects;
  }

  /** Encodes the unpublished charges for a snapshot. */
  encodeSnapshot(): Uint8Array {
    return packr.pack([...this.#outbox.listPending(), ...this.#nonDurable]);
  }

  /** Adds the charges of a snapshot to the outbox. */
  loadSnapshot(pending: readonly PendingCharge[], nowMs: number): void {
    for (const each of pending) this.#add(each, nowMs);
  }

  #add(pending: PendingCharge, nowMs: number): void {
    const { sequence, charge } = pending;
    this.#outbox.handle({ kind: "call_ended", sequence, charge }, nowMs);
  }
}

/** Decodes the charges of a snapshot. */
export const decodeCharges: (
  part: Uint8Array,
) => Result<PendingCharge[], Failure> = Result.fromThrowable(
  (part: Uint8Array) => packr.unpack(part) as PendingCharge[],
  (error) => createFailure("SegmentUnreadable", `snapshot charges: ${error}`),
);

/**
 * The slots of one target that are currently granted.
 */
import type { AttemptId, Partner, VmId } from "@camphorlock/types";
import { countUncachedTokens, type WaitingCall } from "./waiting_call.ts";

/** Prompts up to this size don't count against the bound on long prompts. */
export const SMALL_PROMPT_TOKENS = 4_096;

/** A granted slot. */
export interface RunningSlot {
  readonly attemptId: AttemptId;
  readonly holder: VmId;
  readonly partner: Partner;
  readonly isShort: boolean;
  readonly uncachedTokens: number;
  /** Estimated service, recorded for the partner when the slot was granted. */
  readonly estimatedMs: number;
  readonly grantedAtMs: number;
  expiresAtMs: number;
  renewedAtMs: number;
  hasFirstToken: boolean;
}

/** Slots by attempt, with running totals. */
export class RunningSlots {
  readonly #slots = new Map<AttemptId, RunningSlot>();
  #shortCount = 0;
  #prefillTokens = 0;
  #largePrefillTokens = 0;

  /** The number of slots. */
  get size(): number {
    return this.#slots.size;
  }

  /** The number of slots of calls that aren't short. */
  get longCount(): number {
    return this.#slots.size - this.#shortCount;
  }

  /** Uncached prompt tokens of slots that have no first token yet. */
  get prefillTokens(): number {
    return this.#prefillTokens;
  }

  /** The same, without small prompts. */
  get largePrefillTokens(): number {
    return this.#largePrefillTokens;
  }

  /** Finds the slot of an attempt. */
  find(attemptId: AttemptId): RunningSlot | undefined {
    return this.#slots.get(attemptId);
  }

  /** Adds a slot. */
  add(slot: RunningSlot): void {
    this.#slots.set(slot.attemptId, slot);
    if (slot.isShort) this.#shortCount += 1;
    if (!slot.hasFirstToken) this.#addPrefill(slot.uncachedTokens, 1);
  }

  /** Removes the slot of an attempt. */
  remove(attemptId: AttemptId): RunningSlot | undefined {
    const slot = this.#slots.get(attemptId);
    if (slot === undefined) return undefined;
    this.#slots.delete(attemptId);
    if (slot.isShort) this.#shortCount -= 1;
    if (!slot.hasFirstToken) this.#addPrefill(slot.uncachedTokens, -1);
    return slot;
  }

  /** Records that the slot's stream has produced its first token. */
  recordFirstToken(slot: RunningSlot): void {
    if (slot.hasFirstToken) return;
    slot.hasFirstToken = true;
    this.#addPrefill(slot.uncachedTokens, -1);
  }

  #addPrefill(tokens: number, sign: 1 | -1): void {
    this.#prefillTokens += sign * tokens;
    if (tokens > SMALL_PROMPT_TOKENS) this.#largePrefillTokens += sign * tokens;
  }

  /** Lists the slots whose grant has expired. */
  listExpired(nowMs: number): RunningSlot[] {
    return [...this.#slots.values()].filter((each) =>
      each.expiresAtMs <= nowMs
    );
  }
}

/** Creates the slot of a waiting call. */
export function createSlot(
  call: WaitingCall,
  options: {
    readonly nowMs: number;
    readonly expiresAtMs: number;
    readonly estimatedMs: number;
  },
): RunningSlot {
  const { request, from } = call;
  const { nowMs, expiresAtMs, estimatedMs } = options;
  return {
    attemptId: request.attemptId,
    holder: from,
    partner: request.partner,
    isShort: request.programClass === "short",
    uncachedTokens: countUncachedTokens(request),
    estimatedMs,
    grantedAtMs: nowMs,
    expiresAtMs,
    renewedAtMs: nowMs,
    hasFirstToken: false,
  };
}

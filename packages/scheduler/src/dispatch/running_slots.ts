/**
 * The slots of one target that are granted at present.
 */
import type { AttemptId, Partner, VmId } from "@camphorlock/types";
import { countUncachedTokens, type WaitingCall } from "./waiting_call.ts";

/** Prompts up to this size don't count against the bound on computation. */
export const SMALL_PROMPT_TOKENS = 4_096;

/** A granted slot. */
export interface RunningSlot {
  readonly attemptId: AttemptId;
  readonly holder: VmId;
  readonly partner: Partner;
  readonly isShort: boolean;
  readonly uncachedTokens: number;
  /** Service that was counted for the slot when it was granted. */
  readonly countedMs: number;
  readonly grantedAtMs: number;
  expiresAtMs: number;
  renewedAtMs: number;
  hasTokens: boolean;
}

/** Slots by attempt, with their sums kept up to date. */
export class RunningSlots {
  readonly #slots = new Map<AttemptId, RunningSlot>();
  #short = 0;
  #prefillTokens = 0;
  #largePrefillTokens = 0;

  /** The number of slots. */
  get size(): number {
    return this.#slots.size;
  }

  /** The number of slots of calls that aren't short. */
  get longCount(): number {
    return this.#slots.size - this.#short;
  }

  /** Prompt tokens of slots that haven't given their first token. */
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
    if (slot.isShort) this.#short += 1;
    if (!slot.hasTokens) this.#addPrefill(slot.uncachedTokens, 1);
  }

  /** Removes the slot of an attempt. */
  remove(attemptId: AttemptId): RunningSlot | undefined {
    const slot = this.#slots.get(attemptId);
    if (slot === undefined) return undefined;
    this.#slots.delete(attemptId);
    if (slot.isShort) this.#short -= 1;
    if (!slot.hasTokens) this.#addPrefill(slot.uncachedTokens, -1);
    return slot;
  }

  /** Notes that the slot's stream has begun. */
  setFirstToken(slot: RunningSlot): void {
    if (slot.hasTokens) return;
    slot.hasTokens = true;
    this.#addPrefill(slot.uncachedTokens, -1);
  }

  #addPrefill(tokens: number, sign: 1 | -1): void {
    this.#prefillTokens += sign * tokens;
    if (tokens > SMALL_PROMPT_TOKENS) this.#largePrefillTokens += sign * tokens;
  }

  /** Lists the slots that weren't renewed in time. */
  listExpired(nowMs: number): RunningSlot[] {
    return [...this.#slots.values()].filter((each) =>
      each.expiresAtMs <= nowMs
    );
  }
}

/** Creates the slot of a call that waited. */
export function createSlot(
  call: WaitingCall,
  options: {
    readonly nowMs: number;
    readonly lifeMs: number;
    readonly countedMs: number;
  },
): RunningSlot {
  const { request, from } = call;
  const { nowMs, lifeMs, countedMs } = options;
  return {
    attemptId: request.attemptId,
    holder: from,
    partner: request.partner,
    isShort: request.programClass === "short",
    uncachedTokens: countUncachedTokens(request),
    countedMs,
    grantedAtMs: nowMs,
    expiresAtMs: nowMs + lifeMs,
    renewedAtMs: nowMs,
    hasTokens: false,
  };
}

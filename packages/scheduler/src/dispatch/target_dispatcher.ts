/**
 * Queues the calls of one target and grants its slots.
 *
 * The state is soft: a new dispatcher learns of running slots by their
 * renewals, and of waiting calls because their nodes ask again.
 */
import type {
  AttemptId,
  DispatchMessage,
  Effect,
  TargetId,
  TargetLoad,
  VmId,
} from "@camphorlock/types";
import type { RandomSource } from "../random/mod.ts";
import { ConcurrencyLimit } from "./concurrency_limit.ts";
import { FairShare } from "./fair_share.ts";
import { createSlot, type RunningSlot, RunningSlots } from "./running_slots.ts";
import { RecentAttempts } from "./recent_attempts.ts";
import type { DispatchSettings } from "./settings.ts";
import {
  buildGrant,
  buildGrantLog,
  buildRefusal,
  buildRefusalLog,
  type RefusalReason,
} from "./slot_answers.ts";
import { SlotQueue } from "./slot_queue.ts";
import { hasPrefillRoom, hasSlot, isSmallPrompt } from "./slot_room.ts";
import {
  countUncachedTokens,
  isFresh,
  type SlotRequest,
  type WaitingCall,
} from "./waiting_call.ts";

/** The usual time for which a slot is held, until it's observed. */
const INITIAL_SLOT_MS = 4_000;
const SLOT_SMOOTHING = 0.05;
const LEAST_RETRY_MS = 250;
const MOST_RETRY_MS = 15_000;
/** Longest time that a grant is expected to take to its holder. */
const ARRIVAL_MARGIN_MS = 250;
/** Service that the computation of a prompt token takes from the batch. */
const PREFILL_SERVICE_MS = 0.4;

/** What a dispatcher of one target is built from. */
export interface TargetDispatcherOptions {
  readonly targetId: TargetId;
  readonly settings: DispatchSettings;
  readonly random: RandomSource;
  readonly nowMs: number;
  /** The last limit that another dispatcher of the target reported. */
  readonly knownLimit?: number;
}

/** The dispatcher of one target. */
export class TargetDispatcher {
  readonly #targetId: TargetId;
  readonly #settings: DispatchSettings;
  readonly #random: RandomSource;
  readonly #queue: SlotQueue;
  readonly #running = new RunningSlots();
  readonly #share: FairShare;
  readonly #limit: ConcurrencyLimit;
  readonly #ended = new RecentAttempts();
  #slotMs = INITIAL_SLOT_MS;
  #number = 0;
  #isLeaving = false;
  #wasBinding = false;

  constructor(options: TargetDispatcherOptions) {
    const { settings, nowMs, knownLimit } = options;
    this.#targetId = options.targetId;
    this.#settings = settings;
    this.#random = options.random;
    this.#queue = new SlotQueue(settings.order);
    this.#share = new FairShare(settings.share);
    this.#limit = new ConcurrencyLimit(settings.limit, nowMs);
    if (knownLimit !== undefined) this.#limit.setSlots(knownLimit);
  }

  /** Whether nothing waits and nothing runs. */
  get isIdle(): boolean {
    return this.#queue.size === 0 && this.#running.size === 0;
  }

  /** Stops granting, and refuses what waits. */
  setLeaving(isLeaving: boolean): Effect[] {
    this.#isLeaving = isLeaving;
    if (!isLeaving) return [];
    return this.#queue.list().flatMap((call) =>
      this.#refuseCall(call, "leaving")
    );
  }

  /** Queues a call, or refuses it at once. */
  handleRequest(from: VmId, request: SlotRequest, nowMs: number): Effect[] {
    const { attemptId } = request;
    if (this.#isLeaving) return [this.#refuse(from, attemptId, "leaving")];
    if (this.#ended.has(attemptId)) {
      return [this.#refuse(from, attemptId, "expired")];
    }
    const running = this.#running.find(attemptId);
    if (running !== undefined) {
      running.expiresAtMs = this.#computeExpiry(nowMs);
      return [this.#answerAgain(running)];
    }
    const waiting = this.#queue.find(attemptId);
    if (waiting !== undefined) {
      waiting.heardAtMs = nowMs;
      return [];
    }
    this.#number += 1;
    const number = this.#number;
    const times = { arrivedAtMs: nowMs, heardAtMs: nowMs };
    const call = { from, request, ...times, number };
    return [...this.#addOrRefuse(call, nowMs), ...this.#grantSlots(nowMs)];
  }

  /** Prolongs a slot and records the tokens that its stream gave. */
  handleRenewal(
    from: VmId,
    renewal: { readonly attemptId: AttemptId; readonly tokens: number },
    nowMs: number,
  ): Effect[] {
    const { attemptId, tokens } = renewal;
    if (this.#ended.has(attemptId)) return [];
    const slot = this.#running.find(attemptId) ??
      this.#takeOverSlot(from, attemptId, nowMs);
    if (tokens > 0) this.#recordTokens(slot, tokens, nowMs);
    slot.expiresAtMs = this.#computeExpiry(nowMs);
    slot.renewedAtMs = nowMs;
    return [];
  }

  /** Frees a slot and learns from how it went. */
  handleRelease(
    released: Extract<DispatchMessage, { kind: "slot_released" }>,
    nowMs: number,
  ): Effect[] {
    this.#queue.remove(released.attemptId);
    this.#ended.add(released.attemptId);
    const slot = this.#running.remove(released.attemptId);
    if (slot === undefined) return [];
    const heldMs = nowMs - slot.grantedAtMs;
    const servedMs = heldMs + slot.uncachedTokens * PREFILL_SERVICE_MS;
    this.#share.recordService(slot.partner, servedMs - slot.countedMs);
    if (released.outcome === "completed") {
      this.#slotMs += SLOT_SMOOTHING * (heldMs - this.#slotMs);
    }
    return this.#grantSlots(nowMs);
  }

  /** Frees expired slots, adapts the limit and grants. */
  handleTick(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    for (const slot of this.#running.listExpired(nowMs)) {
      this.#running.remove(slot.attemptId);
      this.#ended.add(slot.attemptId);
      effects.push(this.#refuse(slot.holder, slot.attemptId, "expired"));
    }
    const oldestMs = nowMs - this.#settings.waitLifeMs;
    for (const call of this.#queue.listSilent(oldestMs)) {
      effects.push(...this.#refuseCall(call, "expired"));
    }
    this.#limit.update({
      wasBinding: this.#wasBinding,
      running: this.#running.size,
    }, nowMs);
    this.#wasBinding = this.#queue.size > 0;
    return [...effects, ...this.#grantSlots(nowMs)];
  }

  /** Summarizes the target for the nodes that place. */
  getLoad(): TargetLoad {
    const { tokenMs } = this.#limit;
    return {
      targetId: this.#targetId,
      running: this.#running.size,
      queued: this.#queue.size,
      limit: this.#limit.slots,
      queuedPromptTokens: this.#queue.promptTokens,
      relativeSpeed: 1,
      ...(tokenMs === undefined ? {} : { tokenMs }),
      slotMs: Math.round(this.#slotMs),
      prefillTokens: this.#running.prefillTokens,
      ...(this.#queue.size === 0
        ? {}
        : { queuedBy: this.#queue.listByPartner() }),
    };
  }

  #addOrRefuse(call: WaitingCall, nowMs: number): Effect[] {
    const { queue } = this.#settings;
    if (queue.kind === "unbounded") {
      this.#queue.add(call);
      return [];
    }
    if (isFresh(call.request) && this.#isWaitTooLong(call, nowMs)) {
      return this.#refuseCall(call, "queue_full");
    }
    this.#queue.add(call);
    if (this.#queue.size <= queue.mostWaiting) return [];
    const victim = this.#queue.findLeastUrgent(nowMs) ?? call;
    return this.#refuseCall(victim, "queue_full");
  }

  #isWaitTooLong(call: WaitingCall, nowMs: number): boolean {
    const { queue } = this.#settings;
    if (queue.kind === "unbounded") return false;
    if (this.#running.size < this.#limit.slots) return false;
    const share = this.#share;
    const before = this.#queue.countBefore(call, { share, nowMs });
    const waitMs = this.#computeWait(before);
    return waitMs > queue.freshWaitMs[call.request.programClass];
  }

  #computeWait(callsBefore: number): number {
    return callsBefore * this.#slotMs / Math.max(1, this.#limit.slots);
  }

  #grantSlots(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    while (!this.#isLeaving && this.#queue.size > 0) {
      const call = this.#chooseNext(nowMs);
      if (call === undefined) break;
      effects.push(...this.#grantSlot(call, nowMs));
    }
    if (this.#queue.size > 0) this.#wasBinding = true;
    return effects;
  }

  #grantSlot(call: WaitingCall, nowMs: number): Effect[] {
    const { attemptId, partner } = call.request;
    this.#queue.remove(attemptId);
    const expiresAtMs = this.#computeExpiry(nowMs);
    const countedMs = this.#slotMs +
      countUncachedTokens(call.request) * PREFILL_SERVICE_MS;
    const slot = createSlot(call, { nowMs, expiresAtMs, countedMs });
    this.#running.add(slot);
    this.#share.recordService(partner, countedMs);
    const waitedMs = nowMs - call.arrivedAtMs;
    return [
      this.#answerAgain(slot),
      buildGrantLog(attemptId, this.getLoad(), waitedMs),
    ];
  }

  /** The holder counts a grant's life from its arrival, so that it ends later. */
  #computeExpiry(nowMs: number): number {
    return nowMs + this.#settings.grantLifeMs + ARRIVAL_MARGIN_MS;
  }

  #canGrant(call: WaitingCall): boolean {
    const { slots } = this.#limit;
    const { shortRoom } = this.#settings;
    return hasSlot(call, this.#running, { slots, shortRoom });
  }

  #hasPrefillRoom(call: WaitingCall): boolean {
    return hasPrefillRoom(call, this.#running, this.#settings.prefill);
  }

  /**
   * Chooses the call that gets the next slot. One with a long prompt isn't
   * overtaken by other long ones while it waits for the computation of others,
   * or it would wait for ever; small prompts go ahead meanwhile.
   */
  #chooseNext(nowMs: number): WaitingCall | undefined {
    const options = { share: this.#share, nowMs };
    const next = this.#queue.findNext((each) => this.#canGrant(each), options);
    if (next === undefined || this.#hasPrefillRoom(next)) return next;
    return this.#queue.findNext(
      (each) =>
        this.#canGrant(each) && isSmallPrompt(each) &&
        this.#hasPrefillRoom(each),
      options,
    );
  }

  #recordTokens(slot: RunningSlot, tokens: number, nowMs: number): void {
    if (slot.hasTokens) {
      this.#limit.recordTokens(tokens, nowMs - slot.renewedAtMs);
    }
    this.#running.setFirstToken(slot);
  }

  /** Takes over a slot that an earlier dispatcher granted. */
  #takeOverSlot(from: VmId, attemptId: AttemptId, nowMs: number): RunningSlot {
    const slot: RunningSlot = {
      attemptId,
      holder: from,
      partner: "zincir",
      isShort: false,
      uncachedTokens: 0,
      countedMs: 0,
      grantedAtMs: nowMs,
      expiresAtMs: nowMs,
      renewedAtMs: nowMs,
      hasTokens: true,
    };
    this.#queue.remove(attemptId);
    this.#running.add(slot);
    return slot;
  }

  #answerAgain(slot: RunningSlot): Effect {
    return buildGrant(slot.holder, slot.attemptId, {
      load: this.getLoad(),
      expiresInMs: this.#settings.grantLifeMs,
    });
  }

  #refuseCall(call: WaitingCall, reason: RefusalReason): Effect[] {
    const { attemptId } = call.request;
    this.#queue.remove(attemptId);
    this.#ended.add(attemptId);
    return [
      this.#refuse(call.from, attemptId, reason),
      buildRefusalLog(attemptId, this.getLoad(), reason),
    ];
  }

  #refuse(to: VmId, attemptId: AttemptId, reason: RefusalReason): Effect {
    return buildRefusal(to, attemptId, {
      load: this.getLoad(),
      reason,
      retryAfterMs: this.#computeRetryAfter(),
    });
  }

  /** Spreads the return of refused calls over the time the queue needs. */
  #computeRetryAfter(): number {
    const drainMs = this.#computeWait(this.#queue.size);
    const spread = this.#random.takeBetween(0.5, 2);
    const retryMs = Math.max(LEAST_RETRY_MS, drainMs) * spread;
    return Math.round(Math.min(MOST_RETRY_MS, retryMs));
  }
}

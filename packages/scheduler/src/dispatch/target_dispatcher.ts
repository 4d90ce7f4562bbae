/**
 * Queues the calls of one target and grants its slots.
 *
 * The state is soft: a new dispatcher rebuilds it from the renewals of running
 * slots and from the requests that nodes repeat for waiting calls.
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
} from "./slot_messages.ts";
import { SlotQueue } from "./slot_queue.ts";
import { hasFreeSlot, hasPrefillRoom, isSmallPrompt } from "./slot_room.ts";
import {
  countUncachedTokens,
  isNewProgram,
  type SlotRequest,
  type WaitingCall,
} from "./waiting_call.ts";

/** Estimate of the time that a slot is held, before any is observed. */
const INITIAL_SLOT_MS = 4_000;
/** Weight of a completed call in the average time that a slot is held. */
const SLOT_SMOOTHING = 0.05;
const MIN_RETRY_MS = 250;
const MAX_RETRY_MS = 15_000;
/** Longest expected delay of a grant on its way to the holder. */
const ARRIVAL_MARGIN_MS = 250;
/** Service time that computing one prompt token takes from the batch. */
const PREFILL_SERVICE_MS = 0.4;

/** The options of a dispatcher of one target. */
export interface TargetDispatcherOptions {
  readonly targetId: TargetId;
  readonly settings: DispatchSettings;
  readonly random: RandomSource;
  readonly nowMs: number;
  /** The last limit that another dispatcher of the target reported. */
  readonly reportedLimit?: number;
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
  #arrivals = 0;
  #isLeaving = false;
  #hadWaitingCalls = false;

  constructor(options: TargetDispatcherOptions) {
    const { settings, nowMs, reportedLimit } = options;
    this.#targetId = options.targetId;
    this.#settings = settings;
    this.#random = options.random;
    this.#queue = new SlotQueue(settings.order);
    this.#share = new FairShare(settings.share);
    this.#limit = new ConcurrencyLimit(settings.limit, nowMs);
    if (reportedLimit !== undefined) this.#limit.setSlots(reportedLimit);
  }

  /** Whether no call waits or runs. */
  get isIdle(): boolean {
    return this.#queue.size === 0 && this.#running.size === 0;
  }

  /** Sets whether the target is leaving; if so, refuses the waiting calls. */
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
      return [this.#buildGrant(running)];
    }
    const waiting = this.#queue.find(attemptId);
    if (waiting !== undefined) {
      waiting.requestedAtMs = nowMs;
      return [];
    }
    this.#arrivals += 1;
    const number = this.#arrivals;
    const times = { arrivedAtMs: nowMs, requestedAtMs: nowMs };
    const call = { from, request, ...times, number };
    return [...this.#addOrRefuse(call, nowMs), ...this.#grantSlots(nowMs)];
  }

  /** Extends a grant and records the tokens that its stream produced. */
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

  /** Frees a slot, and updates the fair share and the average slot time. */
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
    this.#share.recordService(slot.partner, servedMs - slot.estimatedMs);
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
    for (const call of this.#queue.listExpired(oldestMs)) {
      effects.push(...this.#refuseCall(call, "expired"));
    }
    this.#limit.update({
      hadWaitingCalls: this.#hadWaitingCalls,
      running: this.#running.size,
    }, nowMs);
    this.#hadWaitingCalls = this.#queue.size > 0;
    return [...effects, ...this.#grantSlots(nowMs)];
  }

  /** Summarizes the target's load for placement. */
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
    if (isNewProgram(call.request) && this.#isWaitTooLong(call, nowMs)) {
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
    if (this.#queue.size > 0) this.#hadWaitingCalls = true;
    return effects;
  }

  #grantSlot(call: WaitingCall, nowMs: number): Effect[] {
    const { attemptId, partner } = call.request;
    this.#queue.remove(attemptId);
    const expiresAtMs = this.#computeExpiry(nowMs);
    const estimatedMs = this.#slotMs +
      countUncachedTokens(call.request) * PREFILL_SERVICE_MS;
    const slot = createSlot(call, { nowMs, expiresAtMs, estimatedMs });
    this.#running.add(slot);
    this.#share.recordService(partner, estimatedMs);
    const waitedMs = nowMs - call.arrivedAtMs;
    return [
      this.#buildGrant(slot),
      buildGrantLog(attemptId, this.getLoad(), waitedMs),
    ];
  }

  /** Adds a margin, since the holder counts the lifetime from the arrival. */
  #computeExpiry(nowMs: number): number {
    return nowMs + this.#settings.grantLifeMs + ARRIVAL_MARGIN_MS;
  }

  #hasFreeSlot(call: WaitingCall): boolean {
    const { slots } = this.#limit;
    const { shortRoom } = this.#settings;
    return hasFreeSlot(call, this.#running, { slots, shortRoom });
  }

  #hasPrefillRoom(call: WaitingCall): boolean {
    return hasPrefillRoom(call, this.#running, this.#settings.prefill);
  }

  /**
   * Chooses the call that gets the next slot. While a call with a long prompt
   * waits for the computation of others, small prompts may overtake it. Other
   * long prompts may not, since the call could starve.
   */
  #chooseNext(nowMs: number): WaitingCall | undefined {
    const options = { share: this.#share, nowMs };
    const next = this.#queue.findNext(
      (each) => this.#hasFreeSlot(each),
      options,
    );
    if (next === undefined || this.#hasPrefillRoom(next)) return next;
    return this.#queue.findNext(
      (each) =>
        this.#hasFreeSlot(each) && isSmallPrompt(each) &&
        this.#hasPrefillRoom(each),
      options,
    );
  }

  #recordTokens(slot: RunningSlot, tokens: number, nowMs: number): void {
    if (slot.hasFirstToken) {
      this.#limit.recordTokens(tokens, nowMs - slot.renewedAtMs);
    }
    this.#running.recordFirstToken(slot);
  }

  /** Takes over a slot that an earlier dispatcher granted. */
  #takeOverSlot(from: VmId, attemptId: AttemptId, nowMs: number): RunningSlot {
    const slot: RunningSlot = {
      attemptId,
      holder: from,
      partner: "zincir",
      isShort: false,
      uncachedTokens: 0,
      estimatedMs: 0,
      grantedAtMs: nowMs,
      expiresAtMs: nowMs,
      renewedAtMs: nowMs,
      hasFirstToken: true,
    };
    this.#queue.remove(attemptId);
    this.#running.add(slot);
    return slot;
  }

  #buildGrant(slot: RunningSlot): Effect {
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

  /** Adds jitter, so that refused calls retry while the queue drains. */
  #computeRetryAfter(): number {
    const drainMs = this.#computeWait(this.#queue.size);
    const spread = this.#random.takeBetween(0.5, 2);
    const retryMs = Math.max(MIN_RETRY_MS, drainMs) * spread;
    return Math.round(Math.min(MAX_RETRY_MS, retryMs));
  }
}

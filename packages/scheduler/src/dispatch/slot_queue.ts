/**
 * The waiting calls of one target: which one is granted a slot next, and which
 * one is refused when the queue is full.
 */
import type { AttemptId, Partner, PartnerQueue } from "@camphorlock/types";
import type { FairShare } from "./fair_share.ts";
import type { OrderPolicy } from "./settings.ts";
import {
  compareAge,
  computeRank,
  countUncachedTokens,
  isNewProgram,
  type WaitingCall,
} from "./waiting_call.ts";

/** Whether a waiting call can be granted a slot now. */
export type FitCheck = (call: WaitingCall) => boolean;

/** The queue of one target. */
export class SlotQueue {
  readonly #order: OrderPolicy;
  readonly #calls = new Map<AttemptId, WaitingCall>();
  #promptTokens = 0;

  constructor(order: OrderPolicy) {
    this.#order = order;
  }

  /** The number of waiting calls. */
  get size(): number {
    return this.#calls.size;
  }

  /** Uncached prompt tokens of the waiting calls. */
  get promptTokens(): number {
    return this.#promptTokens;
  }

  /** Finds the call of an attempt. */
  find(attemptId: AttemptId): WaitingCall | undefined {
    return this.#calls.get(attemptId);
  }

  /** Adds a call. */
  add(call: WaitingCall): void {
    this.#calls.set(call.request.attemptId, call);
    this.#promptTokens += countUncachedTokens(call.request);
  }

  /** Removes a call, if it's in the queue. */
  remove(attemptId: AttemptId): WaitingCall | undefined {
    const call = this.#calls.get(attemptId);
    if (call === undefined) return undefined;
    this.#calls.delete(attemptId);
    this.#promptTokens -= countUncachedTokens(call.request);
    return call;
  }

  /** Lists the calls whose node last sent the request before a time. */
  listExpired(sinceMs: number): WaitingCall[] {
    return this.list().filter((each) => each.requestedAtMs < sinceMs);
  }

  /** Lists the number of waiting calls of each partner that has any. */
  listByPartner(): PartnerQueue[] {
    const counts = new Map<Partner, { queued: number; short: number }>();
    for (const { request } of this.#calls.values()) {
      const { partner, programClass } = request;
      const count = counts.get(partner) ?? { queued: 0, short: 0 };
      count.queued += 1;
      if (programClass === "short") count.short += 1;
      counts.set(partner, count);
    }
    return [...counts].map(([partner, count]) => ({ partner, ...count }));
  }

  /** Lists every waiting call. */
  list(): WaitingCall[] {
    return [...this.#calls.values()];
  }

  /** Finds the call that gets the next slot among those that fit. */
  findNext(
    fits: FitCheck,
    options: { readonly share: FairShare; readonly nowMs: number },
  ): WaitingCall | undefined {
    const calls = this.list();
    const fitting = calls.filter(fits);
    const [partner] = options.share.sortPartners(
      listPartners(fitting),
      listPartners(calls),
    );
    const candidates = partner === undefined
      ? fitting
      : fitting.filter((each) => each.request.partner === partner);
    return this.#findBest(candidates, options.nowMs);
  }

  /**
   * Counts the calls that would get a slot before this one: those of its own
   * partner that rank before it, and those of the other partner that get slots
   * in the meantime by their share.
   */
  countBefore(
    call: WaitingCall,
    options: { readonly share: FairShare; readonly nowMs: number },
  ): number {
    const { share, nowMs } = options;
    const { partner } = call.request;
    const rank = computeRank(call, this.#order, nowMs);
    const before = this.list().filter((each) =>
      computeRank(each, this.#order, nowMs) <= rank
    );
    const own = before.filter((each) => each.request.partner === partner);
    const others = before.length - own.length;
    const interleaved = (own.length + 1) * share.computeOthersPerSlot(partner);
    return own.length + Math.min(others, interleaved);
  }

  /**
   * Finds the call to refuse first: among the new programs' calls of the
   * partner that has the most of them, the last in order.
   */
  findLeastUrgent(nowMs: number): WaitingCall | undefined {
    const newCalls = this.list().filter((each) => isNewProgram(each.request));
    const partner = findMostFrequent(
      newCalls.map((each) => each.request.partner),
    );
    let worst: WaitingCall | undefined;
    let worstRank = -Infinity;
    for (const call of newCalls) {
      if (call.request.partner !== partner) continue;
      const rank = computeRank(call, this.#order, nowMs);
      if (rank < worstRank) continue;
      worst = call;
      worstRank = rank;
    }
    return worst;
  }

  #findBest(
    calls: readonly WaitingCall[],
    nowMs: number,
  ): WaitingCall | undefined {
    let best: WaitingCall | undefined;
    let bestRank = Infinity;
    for (const call of calls) {
      const rank = computeRank(call, this.#order, nowMs);
      if (rank > bestRank) continue;
      const isTie = best !== undefined && rank === bestRank;
      if (isTie && best !== undefined && compareAge(best, call) <= 0) continue;
      best = call;
      bestRank = rank;
    }
    return best;
  }
}

function findMostFrequent(partners: readonly Partner[]): Partner | undefined {
  const counts = new Map<Partner, number>();
  for (const partner of partners) {
    counts.set(partner, (counts.get(partner) ?? 0) + 1);
  }
  const sorted = [...counts].sort(([, left], [, right]) => right - left);
  return sorted[0]?.[0];
}

function listPartners(calls: readonly WaitingCall[]): Set<Partner> {
  return new Set(calls.map((each) => each.request.partner));
}

/**
 * The shared budgets of teams and partners on one node.
 *
 * A node draws a portion of each budget from its platform object, so that most
 * reservations need no platform call. The sum of all portions never exceeds the
 * limit. Portions last longer the more budgets and nodes there are, which keeps
 * the fleet's writes at a fixed rate.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type Micros,
  type PlatformRequest,
  type PlatformResponse,
  type PlatformToken,
  type VmId,
} from "@camphorlock/types";
import { DrawRateLimiter } from "./draw_rate_limiter.ts";
import { Portion } from "./portion.ts";
import type { DrawContext } from "./portion_size.ts";

/** Writes per second on shared budgets, for all nodes together. */
export const FLEET_BUDGET_WRITES_PER_S = 50;

/** A portion lasts at least this long at the current rate of use. */
export const MIN_HORIZON_MS = 30_000;

/** An unused portion is returned after this many horizons. */
const IDLE_HORIZONS = 4;

const RESPONSE_TIMEOUT_MS = 10_000;

/** An input of the portions. */
export type BudgetInput =
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | { readonly kind: "tick" }
  | {
    /** The limits in force, by `kind/name`. */
    readonly kind: "limits";
    readonly limits: ReadonlyMap<string, Micros>;
  }
  | {
    /** The VMs that are members, including this one. */
    readonly kind: "members";
    readonly present: ReadonlySet<VmId>;
  }
  | { readonly kind: "stop" };

/** The result of an input. */
export interface BudgetStep {
  readonly effects: readonly Effect[];
  /** Keys of budgets whose waiting reservations may be retried. */
  readonly retryKeys: readonly string[];
}

/** The result of a reservation. */
export type ReserveResult =
  /** `reservedMicros` has to be passed to `settle`. */
  | { readonly kind: "reserved"; readonly reservedMicros: Micros }
  /** A draw is in progress; retry when the key is in `retryKeys`. */
  | { readonly kind: "waiting" }
  | { readonly kind: "refused"; readonly failure: Failure };

interface OpenRequest {
  readonly portion: Portion;
  readonly deadlineMs: number;
}

/** This node's portions of shared budgets. */
export class BudgetPortions {
  readonly #owner: DrawContext["owner"];
  readonly #portions = new Map<string, Portion>();
  readonly #open = new Map<number, OpenRequest>();
  #limits: ReadonlyMap<string, Micros> = new Map();
  #present: ReadonlySet<VmId>;
  readonly #rateLimiter = new DrawRateLimiter();
  #requestNumber = 0;
  #isStopping = false;

  constructor(owner: { readonly vmId: VmId; readonly incarnation: number }) {
    this.#owner = owner;
    this.#present = new Set([owner.vmId]);
  }

  /** Whether no portion has an amount left to return. */
  get isReturned(): boolean {
    return [...this.#portions.values()].every((portion) => {
      return portion.availableMicros <= 0 && !portion.hasOpenRequest;
    });
  }

  /** The amount of a budget that can be reserved without a draw. */
  getAvailable(key: string): Micros {
    return this.#portions.get(key)?.availableMicros ?? 0;
  }

  /**
   * Reserves the worst-case cost of a call from a budget. A budget without a
   * limit always has enough.
   */
  reserve(
    key: string,
    amount: { readonly micros: Micros; readonly nowMs: number },
  ): ReserveResult {
    const { micros, nowMs } = amount;
    if (!this.#limits.has(key)) return { kind: "reserved", reservedMicros: 0 };
    const portion = this.#getPortion(key);
    if (portion.reserve(micros, nowMs)) {
      return { kind: "reserved", reservedMicros: micros };
    }
    if (!portion.isExhausted(nowMs)) return { kind: "waiting" };
    const detail = `budget ${key} has less left than the call's worst case`;
    const failure = createFailure("SharedBudgetExhausted", detail);
    return { kind: "refused", failure };
  }

  /** Settles a reservation that this process made. */
  settle(
    key: string,
    amounts: { readonly reservedMicros: Micros; readonly chargeMicros: Micros },
  ): void {
    const portion = this.#portions.get(key);
    portion?.settle(amounts.reservedMicros, amounts.chargeMicros);
  }

  /** Handles one input and returns the resulting effects. */
  handle(input: BudgetInput, nowMs: number): BudgetStep {
    switch (input.kind) {
      case "platform":
        return this.#handleResponse(input.token, {
          answer: input.answer,
          nowMs,
        });
      case "tick":
        return this.#handleTick(nowMs);
      case "limits":
        this.#updateLimits(input.limits);
        return { effects: [], retryKeys: [] };
      case "members":
        this.#present = new Set([...input.present, this.#owner.vmId]);
        return { effects: [], retryKeys: [] };
      case "stop":
        this.#isStopping = true;
        return this.#handleTick(nowMs);
      default:
        return checkNever(input);
    }
  }

  /** Requests a return for each budget whose limit was lowered. */
  #updateLimits(limits: ReadonlyMap<string, Micros>): void {
    for (const portion of this.#portions.values()) {
      const before = this.#limits.get(portion.key) ?? Infinity;
      const after = limits.get(portion.key) ?? Infinity;
      if (after < before) portion.release();
    }
    this.#limits = limits;
  }

  #handleTick(nowMs: number): BudgetStep {
    const effects: Effect[] = [];
    for (const [number, open] of this.#open) {
      if (open.deadlineMs > nowMs) continue;
      this.#open.delete(number);
      const lost = { kind: "failed", reason: "lost" } as const;
      effects.push(
        ...this.#applyResponse(open.portion, { answer: lost, nowMs }),
      );
    }
    const idleMs = this.#computeHorizonMs() * IDLE_HORIZONS;
    const due: Portion[] = [];
    for (const portion of this.#portions.values()) {
      const isIdle = nowMs - portion.usedAtMs > idleMs;
      if (this.#isStopping || isIdle) portion.release();
      if (portion.needsCall(nowMs)) due.push(portion);
    }
    effects.push(...this.#startCalls(due, nowMs));
    return { effects, retryKeys: [] };
  }

  /** Starts as many platform calls as the rate allows, shortfalls first. */
  #startCalls(due: readonly Portion[], nowMs: number): readonly Effect[] {
    const shortfalls = due.filter((portion) => portion.hasShortfall);
    const others = due.filter((portion) => !portion.hasShortfall);
    const effects: Effect[] = [];
    for (const portion of [...shortfalls, ...others]) {
      if (!this.#isStopping && !this.#rateLimiter.acquire(nowMs)) break;
      const request = portion.handleTick(nowMs);
      if (request === undefined) continue;
      effects.push(this.#send(portion, { request, nowMs }));
    }
    return effects;
  }

  #handleResponse(
    token: PlatformToken,
    event: { readonly answer: PlatformResponse; readonly nowMs: number },
  ): BudgetStep {
    const open = this.#open.get(token.number);
    if (open === undefined) return { effects: [], retryKeys: [] };
    this.#open.delete(token.number);
    this.#rateLimiter.record(event.answer);
    const { portion } = open;
    const beforeMicros = portion.heldMicros;
    const effects = this.#applyResponse(portion, event);
    const canRetry = portion.heldMicros > beforeMicros ||
      portion.isExhausted(event.nowMs);
    return { effects, retryKeys: canRetry ? [portion.key] : [] };
  }

  #applyResponse(
    portion: Portion,
    event: { readonly answer: PlatformResponse; readonly nowMs: number },
  ): readonly Effect[] {
    const { answer: response, nowMs } = event;
    const context = {
      owner: this.#owner,
      limitMicros: this.#limits.get(portion.key) ?? 0,
      horizonMs: this.#computeHorizonMs(),
      present: this.#present,
    };
    const request = portion.handleResponse(response, { context, nowMs });
    if (request === undefined) return [];
    return [this.#send(portion, { request, nowMs })];
  }

  #computeHorizonMs(): number {
    const draws = this.#portions.size * this.#present.size;
    const sharedMs = draws * 1_000 / FLEET_BUDGET_WRITES_PER_S;
    return Math.max(MIN_HORIZON_MS, sharedMs);
  }

  #send(
    portion: Portion,
    call: { readonly request: PlatformRequest; readonly nowMs: number },
  ): Effect {
    this.#requestNumber += 1;
    const deadlineMs = call.nowMs + RESPONSE_TIMEOUT_MS;
    this.#open.set(this.#requestNumber, { portion, deadlineMs });
    const token = { role: "budget", number: this.#requestNumber } as const;
    return { kind: "call_platform", token, request: call.request };
  }

  #getPortion(key: string): Portion {
    const found = this.#portions.get(key);
    if (found !== undefined) return found;
    const portion = new Portion(key, this.#owner.vmId);
    this.#portions.set(key, portion);
    return portion;
  }
}

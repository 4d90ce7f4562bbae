/**
 * The shared budgets of teams and partners on one node.
 *
 * Each is handed out from its platform object in portions, so that most
 * reservations need no platform call. The sum of all portions never passes the
 * limit. Portions last longer the more budgets and nodes there are, which
 * keeps the fleet's writes at a fixed rate.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type Effect,
  type Micros,
  type PlatformAnswer,
  type PlatformRequest,
  type PlatformToken,
  type VmId,
} from "@camphorlock/types";
import { DrawPace } from "./draw_pace.ts";
import { Portion } from "./portion.ts";
import type { DrawContext } from "./portion_size.ts";

/** Writes a second that all nodes together may spend on shared budgets. */
export const FLEET_BUDGET_WRITES_PER_S = 50;

/** A portion lasts at least this long at its present use. */
export const SHORTEST_HORIZON_MS = 30_000;

/** An unused portion is returned after this many horizons. */
const IDLE_HORIZONS = 4;

const ANSWER_TIMEOUT_MS = 10_000;

/** What the portions are told. */
export type BudgetInput =
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformAnswer;
  }
  | { readonly kind: "tick" }
  | {
    /** The limits in force, by `kind/name`. */
    readonly kind: "limits";
    readonly limits: ReadonlyMap<string, Micros>;
  }
  | {
    /** The VMs that are members, this one included. */
    readonly kind: "members";
    readonly present: ReadonlySet<VmId>;
  }
  | { readonly kind: "stop" };

/** What the portions ask for. */
export interface BudgetStep {
  readonly effects: readonly Effect[];
  /** Budgets whose portion has grown: waiting calls may try again. */
  readonly grown: readonly string[];
}

/** What became of a reservation. */
export type ReserveResult =
  /** `reservedMicros` is to be given back to `settle`. */
  | { readonly kind: "reserved"; readonly reservedMicros: Micros }
  /** A draw is under way; try again when the budget is in `grown`. */
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
  readonly #pace = new DrawPace();
  #number = 0;
  #isStopping = false;

  constructor(owner: { readonly vmId: VmId; readonly incarnation: number }) {
    this.#owner = owner;
    this.#present = new Set([owner.vmId]);
  }

  /** Whether nothing is left to give back. */
  get isReturned(): boolean {
    return [...this.#portions.values()].every((portion) => {
      return portion.restMicros <= 0 && !portion.isAsking;
    });
  }

  /** What this node may still reserve of a budget without a draw. */
  getRest(key: string): Micros {
    return this.#portions.get(key)?.restMicros ?? 0;
  }

  /**
   * Reserves the worst case of a call from a budget. A budget without a limit
   * always has enough.
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
    const detail = `budget ${key} has less left than the call may cost`;
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

  /** Takes one input and gives what has to be done. */
  handle(input: BudgetInput, nowMs: number): BudgetStep {
    switch (input.kind) {
      case "platform":
        return this.#handleAnswer(input.token, {
          answer: input.answer,
          nowMs,
        });
      case "tick":
        return this.#handleTick(nowMs);
      case "limits":
        this.#updateLimits(input.limits);
        return { effects: [], grown: [] };
      case "members":
        this.#present = new Set([...input.present, this.#owner.vmId]);
        return { effects: [], grown: [] };
      case "stop":
        this.#isStopping = true;
        return this.#handleTick(nowMs);
      default:
        return checkNever(input);
    }
  }

  /** Gives back what isn't reserved of budgets that were lowered. */
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
      const answer = { kind: "failed", reason: "lost" } as const;
      effects.push(...this.#applyAnswer(open.portion, { answer, nowMs }));
    }
    const idleMs = this.#computeHorizonMs() * IDLE_HORIZONS;
    const due: Portion[] = [];
    for (const portion of this.#portions.values()) {
      const isIdle = nowMs - portion.usedAtMs > idleMs;
      if (this.#isStopping || isIdle) portion.release();
      if (portion.needsCall(nowMs)) due.push(portion);
    }
    effects.push(...this.#startCalls(due, nowMs));
    return { effects, grown: [] };
  }

  /** Starts as many calls as the pace allows, first where calls wait. */
  #startCalls(due: readonly Portion[], nowMs: number): readonly Effect[] {
    const short = due.filter((portion) => portion.isShort);
    const others = due.filter((portion) => !portion.isShort);
    const effects: Effect[] = [];
    for (const portion of [...short, ...others]) {
      if (!this.#isStopping && !this.#pace.take(nowMs)) break;
      const request = portion.handleTick(nowMs);
      if (request === undefined) continue;
      effects.push(this.#send(portion, { request, nowMs }));
    }
    return effects;
  }

  #handleAnswer(
    token: PlatformToken,
    event: { readonly answer: PlatformAnswer; readonly nowMs: number },
  ): BudgetStep {
    const open = this.#open.get(token.number);
    if (open === undefined) return { effects: [], grown: [] };
    this.#open.delete(token.number);
    this.#pace.record(event.answer);
    const { portion } = open;
    const beforeMicros = portion.heldMicros;
    const effects = this.#applyAnswer(portion, event);
    const hasChanged = portion.heldMicros > beforeMicros ||
      portion.isExhausted(event.nowMs);
    return { effects, grown: hasChanged ? [portion.key] : [] };
  }

  #applyAnswer(
    portion: Portion,
    event: { readonly answer: PlatformAnswer; readonly nowMs: number },
  ): readonly Effect[] {
    const { answer, nowMs } = event;
    const context = {
      owner: this.#owner,
      limitMicros: this.#limits.get(portion.key) ?? 0,
      horizonMs: this.#computeHorizonMs(),
      present: this.#present,
    };
    const request = portion.handleAnswer(answer, { context, nowMs });
    if (request === undefined) return [];
    return [this.#send(portion, { request, nowMs })];
  }

  #computeHorizonMs(): number {
    const draws = this.#portions.size * this.#present.size;
    const sharedMs = draws * 1_000 / FLEET_BUDGET_WRITES_PER_S;
    return Math.max(SHORTEST_HORIZON_MS, sharedMs);
  }

  #send(
    portion: Portion,
    call: { readonly request: PlatformRequest; readonly nowMs: number },
  ): Effect {
    this.#number += 1;
    const deadlineMs = call.nowMs + ANSWER_TIMEOUT_MS;
    this.#open.set(this.#number, { portion, deadlineMs });
    const token = { role: "budget", number: this.#number } as const;
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

/**
 * Faults of the platform's object API, scheduled by time and chosen by seed.
 */
import { checkNever, type PlatformRequest } from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A fault that is active during an interval of time. */
export type PlatformFault =
  /** All requests are refused and have no effect. */
  | PlannedFault<"outage">
  /** Requests get no response and have no effect. */
  | PlannedFault<"silent">
  /** A share of responses is lost after the request took effect. */
  | (PlannedFault<"lost_answer"> & { readonly share: number })
  /** A share of requests takes effect late, and the response is lost. */
  | (PlannedFault<"late_effect"> & {
    readonly share: number;
    readonly delayMs: number;
  })
  /** Responses are delayed by up to `maxDelayMs`. */
  | (PlannedFault<"slow"> & { readonly maxDelayMs: number })
  /** A share of requests is refused as rate limited. */
  | (PlannedFault<"throttled"> & { readonly share: number });

/** The interval in which a fault is active, and the keys that it affects. */
export interface PlannedFault<Kind extends string> {
  readonly kind: Kind;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Affects only keys with this prefix. Affects all keys when absent. */
  readonly prefix?: string;
}

/** How one request is handled. */
export type FaultDecision =
  | { readonly kind: "pass"; readonly delayMs: number }
  | { readonly kind: "refuse" }
  | { readonly kind: "throttle" }
  | { readonly kind: "vanish" }
  | { readonly kind: "lose_answer" }
  | { readonly kind: "delay_effect"; readonly delayMs: number };

/** Settings of a fault plan. */
export interface FaultPlanOptions {
  readonly seed: number;
  readonly faults: readonly PlatformFault[];
}

const RANDOM_STEPS = 1_000_000;
const PASS: FaultDecision = { kind: "pass", delayMs: 0 };

/** Chooses the faults of requests, reproducibly by seed and request order. */
export class FaultPlan {
  #faults: PlatformFault[];
  readonly #random: ReturnType<typeof xoroshiro128plus>;

  constructor(options: FaultPlanOptions) {
    this.#faults = [...options.faults];
    this.#random = xoroshiro128plus(options.seed);
  }

  /** Adds a fault to the plan. */
  add(fault: PlatformFault): void {
    this.#faults.push(fault);
  }

  /** Removes every fault from the plan. */
  removeAll(): void {
    this.#faults = [];
  }

  /** Chooses how a request that arrives at `nowMs` is handled. */
  choose(request: PlatformRequest, nowMs: number): FaultDecision {
    let delayMs = 0;
    for (const fault of this.#faults) {
      if (!isFaultActive(fault, request, nowMs)) continue;
      const decision = this.#chooseForFault(fault);
      if (decision.kind !== "pass") return decision;
      delayMs += decision.delayMs;
    }
    return { kind: "pass", delayMs };
  }

  #chooseForFault(fault: PlatformFault): FaultDecision {
    switch (fault.kind) {
      case "outage":
        return { kind: "refuse" };
      case "silent":
        return { kind: "vanish" };
      case "lost_answer":
        return this.#isHit(fault.share) ? { kind: "lose_answer" } : PASS;
      case "late_effect":
        return this.#isHit(fault.share)
          ? { kind: "delay_effect", delayMs: fault.delayMs }
          : PASS;
      case "slow":
        return { kind: "pass", delayMs: this.#takeBelow(fault.maxDelayMs) };
      case "throttled":
        return this.#isHit(fault.share) ? { kind: "throttle" } : PASS;
      default:
        return checkNever(fault);
    }
  }

  #isHit(share: number): boolean {
    return this.#takeBelow(RANDOM_STEPS) < share * RANDOM_STEPS;
  }

  #takeBelow(below: number): number {
    if (below < 1) return 0;
    return uniformInt(this.#random, 0, below - 1);
  }
}

function isFaultActive(
  fault: PlatformFault,
  request: PlatformRequest,
  nowMs: number,
): boolean {
  if (nowMs < fault.fromMs || nowMs >= fault.untilMs) return false;
  if (fault.prefix === undefined) return true;
  const key = "key" in request ? request.key : request.prefix;
  return key.startsWith(fault.prefix);
}

/**
 * Faults of the platform's object API, planned by time and seed.
 */
import { checkNever, type PlatformRequest } from "@camphorlock/types";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** One kind of fault within an interval of time. */
export type PlatformFault =
  /** Nothing is served: requests are refused before they take effect. */
  | PlannedFault<"outage">
  /** Requests vanish without effect and without an answer. */
  | PlannedFault<"silent">
  /** A share of answers is lost after the request took effect. */
  | (PlannedFault<"lost_answer"> & { readonly share: number })
  /** A share of requests takes effect late; their answers are lost. */
  | (PlannedFault<"late_effect"> & {
    readonly share: number;
    readonly delayMs: number;
  })
  /** Answers take longer, up to `maxDelayMs`. */
  | (PlannedFault<"slow"> & { readonly maxDelayMs: number })
  /** A share of requests is refused by the rate limit. */
  | (PlannedFault<"throttled"> & { readonly share: number });

/** When a fault holds, and for which keys. */
export interface PlannedFault<Kind extends string> {
  readonly kind: Kind;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Only requests below this prefix; all when absent. */
  readonly prefix?: string;
}

/** What happens to one request. */
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

/** Decides the fate of each request. Same seed, same requests, same fate. */
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

  /** Ends every fault. */
  removeAll(): void {
    this.#faults = [];
  }

  /** Chooses what happens to a request at a time. */
  choose(request: PlatformRequest, nowMs: number): FaultDecision {
    let delayMs = 0;
    for (const fault of this.#faults) {
      if (!isFaultActive(fault, request, nowMs)) continue;
      const decision = this.#chooseFor(fault);
      if (decision.kind !== "pass") return decision;
      delayMs += decision.delayMs;
    }
    return { kind: "pass", delayMs };
  }

  #chooseFor(fault: PlatformFault): FaultDecision {
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
        return { kind: "pass", delayMs: this.#take(fault.maxDelayMs) };
      case "throttled":
        return this.#isHit(fault.share) ? { kind: "throttle" } : PASS;
      default:
        return checkNever(fault);
    }
  }

  #isHit(share: number): boolean {
    return this.#take(RANDOM_STEPS) < share * RANDOM_STEPS;
  }

  #take(below: number): number {
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

/**
 * Weighted fair share between partners, by service received per unit of weight.
 */
import { checkNever, type Partner, PARTNERS } from "@camphorlock/types";
import type { SharePolicy } from "./settings.ts";

/** Maximum service that a partner can be owed for the time it was idle. */
const MAX_IDLE_CREDIT_MS = 20_000;

/** The service that each partner has received from one target. */
export class FairShare {
  readonly #policy: SharePolicy;
  readonly #served = new Map<Partner, number>();

  constructor(policy: SharePolicy) {
    this.#policy = policy;
  }

  /**
   * Records service in milliseconds of a slot. A negative value corrects an
   * estimate that was too high.
   */
  recordService(partner: Partner, serviceMs: number): void {
    const before = this.#served.get(partner) ?? 0;
    this.#served.set(partner, before + serviceMs / this.#getWeight(partner));
  }

  /**
   * Lists the partners with a call that fits, least served first. The list is
   * empty under the policy `none`.
   */
  sortPartners(
    fitting: ReadonlySet<Partner>,
    waiting: ReadonlySet<Partner>,
  ): Partner[] {
    switch (this.#policy.kind) {
      case "none":
        return [];
      case "weighted":
        this.#updateIdleCredit(waiting);
        return PARTNERS.filter((each) => fitting.has(each))
          .sort((left, right) =>
            this.#getServed(left) - this.#getServed(right)
          );
      default:
        return checkNever(this.#policy);
    }
  }

  /** Computes how many slots the others get for each slot of this partner. */
  computeOthersPerSlot(partner: Partner): number {
    if (this.#policy.kind === "none") return Infinity;
    const others = PARTNERS.filter((each) => each !== partner)
      .map((each) => this.#getWeight(each));
    const sum = others.reduce((total, each) => total + each, 0);
    return sum / this.#getWeight(partner);
  }

  /**
   * Bounds the service that partners without waiting calls are owed. A
   * difference between partners that both wait is made up in full.
   */
  #updateIdleCredit(waiting: ReadonlySet<Partner>): void {
    const served = [...waiting].map((each) => this.#getServed(each));
    const least = Math.min(...served) - MAX_IDLE_CREDIT_MS;
    if (!Number.isFinite(least)) return;
    for (const partner of PARTNERS) {
      if (waiting.has(partner)) continue;
      const own = Math.max(this.#getServed(partner), least);
      this.#served.set(partner, own);
    }
  }

  #getServed(partner: Partner): number {
    return this.#served.get(partner) ?? 0;
  }

  #getWeight(partner: Partner): number {
    if (this.#policy.kind === "none") return 1;
    return Math.max(this.#policy.weights[partner], 0.01);
  }
}

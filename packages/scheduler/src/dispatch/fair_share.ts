/**
 * Weighted fair share between partners, by service received per weight.
 */
import { checkNever, type Partner, PARTNERS } from "@camphorlock/types";
import type { SharePolicy } from "./settings.ts";

/** Service by which a partner may run ahead of another that was idle. */
const MAX_LEAD_MS = 20_000;

/** The service that each partner had of one target. */
export class FairShare {
  readonly #policy: SharePolicy;
  readonly #served = new Map<Partner, number>();

  constructor(policy: SharePolicy) {
    this.#policy = policy;
  }

  /**
   * Records service in milliseconds of a slot, or takes back a part of an
   * estimate where it's negative.
   */
  recordService(partner: Partner, serviceMs: number): void {
    const before = this.#served.get(partner) ?? 0;
    this.#served.set(partner, before + serviceMs / this.#getWeight(partner));
  }

  /**
   * Lists the partners that have a call that fits, least served first; or none
   * where all are equal.
   */
  sortPartners(
    fitting: ReadonlySet<Partner>,
    waiting: ReadonlySet<Partner>,
  ): Partner[] {
    switch (this.#policy.kind) {
      case "none":
        return [];
      case "weighted":
        this.#setMostLead(waiting);
        return PARTNERS.filter((each) => fitting.has(each))
          .sort((left, right) =>
            this.#getServed(left) - this.#getServed(right)
          );
      default:
        return checkNever(this.#policy);
    }
  }

  /** Gets the slots that others get for each slot of this partner. */
  getOtherShare(partner: Partner): number {
    if (this.#policy.kind === "none") return Infinity;
    const others = PARTNERS.filter((each) => each !== partner)
      .map((each) => this.#getWeight(each));
    const sum = others.reduce((total, each) => total + each, 0);
    return sum / this.#getWeight(partner);
  }

  /**
   * A partner without waiting calls doesn't collect a claim without bound.
   * Between partners that both wait, every difference is made good.
   */
  #setMostLead(waiting: ReadonlySet<Partner>): void {
    const served = [...waiting].map((each) => this.#getServed(each));
    const least = Math.min(...served) - MAX_LEAD_MS;
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

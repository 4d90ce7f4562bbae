/**
 * Bounds retries to a fraction of the fresh attempts, so that a fault doesn't
 * multiply the load.
 */
import { checkNever } from "@camphorlock/types";
import type { RetryBudgetPolicy } from "./settings.ts";

/** The retries that one node may still make. */
export class RetryBudget {
  readonly #policy: RetryBudgetPolicy;
  #saved: number;

  constructor(policy: RetryBudgetPolicy) {
    this.#policy = policy;
    this.#saved = policy.kind === "fraction" ? policy.mostSaved : 0;
  }

  /** Records the first attempt of a call. */
  recordFresh(): void {
    if (this.#policy.kind === "unlimited") return;
    const { retriesPerFresh, mostSaved } = this.#policy;
    this.#saved = Math.min(mostSaved, this.#saved + retriesPerFresh);
  }

  /** Takes one retry; false when none is left. */
  takeRetry(): boolean {
    switch (this.#policy.kind) {
      case "unlimited":
        return true;
      case "fraction":
        if (this.#saved < 1) return false;
        this.#saved -= 1;
        return true;
      default:
        return checkNever(this.#policy);
    }
  }
}

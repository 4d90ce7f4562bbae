/**
 * Limits retries to a fraction of first attempts, so that a fault doesn't multiply
 * the load.
 */
import { checkNever } from "@camphorlock/types";
import type { RetryBudgetPolicy } from "./settings.ts";

/** A token bucket of the retries that one node may still make. */
export class RetryBudget {
  readonly #policy: RetryBudgetPolicy;
  #available: number;

  constructor(policy: RetryBudgetPolicy) {
    this.#policy = policy;
    this.#available = policy.kind === "fraction" ? policy.mostSaved : 0;
  }

  /** Records the first attempt of a call. */
  recordFirstAttempt(): void {
    if (this.#policy.kind === "unlimited") return;
    const { retriesPerFirstAttempt, mostSaved } = this.#policy;
    this.#available = Math.min(
      mostSaved,
      this.#available + retriesPerFirstAttempt,
    );
  }

  /** Takes one retry from the budget. Returns false if none is left. */
  takeRetry(): boolean {
    switch (this.#policy.kind) {
      case "unlimited":
        return true;
      case "fraction":
        if (this.#available < 1) return false;
        this.#available -= 1;
        return true;
      default:
        return checkNever(this.#policy);
    }
  }
}

/**
 * Decides which requests a target gets that has named a limit.
 *
 * Hundreds of gateways may have requests for one target that takes a few a
 * second. A fixed share each would be next to nothing and still add up to a
 * burst, so one gateway, the target's permit home, gives out permits one by one
 * at the named rate. A bucket starts empty: a home that takes over must not add
 * a burst to the permits of the one before.
 */

/** Permits that may accumulate while no gateway asks. */
const MAX_PERMITS = 2;
/** A target that takes nothing is tried at this rate, to see when that ends. */
const PROBE_RATE_PER_S = 0.25;
/** Time in which a gateway that was denied a permit counts as waiting. */
const WAITING_MS = 1_000;
const MIN_RETRY_MS = 25;
const MAX_RETRY_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** The decision on one request for a permit. */
export type PermitDecision =
  | { readonly kind: "granted" }
  /** The gateway may ask again after `retryMs`. */
  | { readonly kind: "denied"; readonly retryMs: number }
  /** The target names no limit any more. */
  | { readonly kind: "unlimited" };

/** The permits of one target. */
export class PermitBucket {
  #ratePerS: number;
  #permits = 0;
  #refilledAtMs: number;
  /** When each gateway was last denied a permit. */
  readonly #waitingSinceMs = new Map<string, number>();

  constructor(requestsPerSecond: number, nowMs: number) {
    this.#ratePerS = Math.max(PROBE_RATE_PER_S, requestsPerSecond);
    this.#refilledAtMs = nowMs;
  }

  /** Applies a limit that the target has named since. */
  setRate(requestsPerSecond: number, nowMs: number): void {
    this.#updatePermits(nowMs);
    this.#ratePerS = Math.max(PROBE_RATE_PER_S, requestsPerSecond);
  }

  /** Takes a permit for a gateway, if there is one. */
  take(gatewayId: string, nowMs: number): PermitDecision {
    this.#updatePermits(nowMs);
    if (this.#permits >= 1) {
      this.#permits -= 1;
      this.#waitingSinceMs.delete(gatewayId);
      return { kind: "granted" };
    }
    this.#waitingSinceMs.set(gatewayId, nowMs);
    return { kind: "denied", retryMs: this.#computeRetryMs(nowMs) };
  }

  /** Spreads waiting gateways over the time in which permits come for all. */
  #computeRetryMs(nowMs: number): number {
    for (const [gatewayId, sinceMs] of this.#waitingSinceMs) {
      if (nowMs - sinceMs > WAITING_MS) this.#waitingSinceMs.delete(gatewayId);
    }
    const missing = this.#waitingSinceMs.size - this.#permits;
    const retryMs = missing / this.#ratePerS * MS_PER_SECOND;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryMs));
  }

  #updatePermits(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.#refilledAtMs) / MS_PER_SECOND;
    this.#permits = Math.min(
      MAX_PERMITS,
      this.#permits + elapsedS * this.#ratePerS,
    );
    this.#refilledAtMs = nowMs;
  }
}

/**
 * Estimates how many requests of a tenant a gateway admits within the life of a
 * batch of credits.
 */
import { BATCH_LIFE_MS } from "./quota_terms.ts";

/** Older requests count less; a batch's life is a fifth of this. */
const MEMORY_MS = 1_000;

/** The recent demand of one tenant at one gateway. */
export class DemandEstimate {
  #count = 0;
  #recordedAtMs: number;

  constructor(nowMs: number) {
    this.#recordedAtMs = nowMs;
  }

  /** Records one admitted request. */
  record(nowMs: number): void {
    this.#update(nowMs);
    this.#count += 1;
  }

  /**
   * Computes the credits that are almost surely used within a batch's life: two
   * standard deviations less than the expected number. Credits that expire
   * unused are lost to the tenant.
   */
  computeBatch(nowMs: number): number {
    this.#update(nowMs);
    const expected = this.#count * BATCH_LIFE_MS / MEMORY_MS;
    return Math.max(0, Math.floor(expected - 2 * Math.sqrt(expected)));
  }

  #update(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#recordedAtMs);
    this.#count *= Math.exp(-elapsedMs / MEMORY_MS);
    this.#recordedAtMs = nowMs;
  }
}

/**
 * Whether a node's configuration is fresh enough to serve.
 *
 * After its start, a node is ready once it holds the latest revision of the
 * platform or, while the platform is down, the highest revision that a
 * reachable majority of nodes has reported. A ready node that reaches neither
 * the platform nor a majority of nodes becomes cut off.
 */
import type { Revision } from "@camphorlock/types";

/** The platform counts as down after requests failed for this long. */
export const PLATFORM_DOWN_MS = 3_000;

/** While the platform is down, a majority must be reachable for this long. */
export const MAJORITY_REACHABLE_MS = 3_000;

/** A node without fresh evidence for this long accepts no more work. */
export const CUT_OFF_MS = 4_000;

/** `starting` and `cut_off` nodes don't serve. */
export type FreshnessState = "starting" | "ready" | "cut_off";

/** The evidence that a node's configuration is the latest. */
export interface FreshnessEvidence {
  readonly revision: Revision;
  /** The highest revision that a peer reported. */
  readonly highestReported: Revision;
  /** When the platform last showed no newer revision. */
  readonly headSeenAtMs: number | undefined;
  readonly platformFailedSinceMs: number | undefined;
  /** Whether a majority, or a large sample, has sent a message recently. */
  readonly isMajorityReachable: boolean;
}

/** Tracks whether the node's configuration is fresh enough to serve. */
export class FreshnessTracker {
  #state: FreshnessState = "starting";
  #lastEvidenceAtMs = 0;
  #majorityReachableSinceMs: number | undefined;

  /** The current state. */
  get state(): FreshnessState {
    return this.#state;
  }

  /** Updates the state. Returns the new state if it changed. */
  update(
    evidence: FreshnessEvidence,
    nowMs: number,
  ): FreshnessState | undefined {
    const next = this.#computeState(evidence, nowMs);
    if (next === this.#state) return undefined;
    this.#state = next;
    return next;
  }

  #computeState(evidence: FreshnessEvidence, nowMs: number): FreshnessState {
    const seenAtMs = evidence.headSeenAtMs ?? -Infinity;
    this.#lastEvidenceAtMs = Math.max(this.#lastEvidenceAtMs, seenAtMs);
    this.#updateReachability(evidence.isMajorityReachable, nowMs);
    switch (this.#state) {
      case "ready":
        return this.#isCutOff(nowMs) ? "cut_off" : "ready";
      case "starting":
        return this.#isCurrent(evidence, nowMs) ? "ready" : "starting";
      case "cut_off":
        return this.#isRejoined(evidence, nowMs) ? "ready" : "cut_off";
    }
  }

  #isCutOff(nowMs: number): boolean {
    return nowMs - this.#lastEvidenceAtMs > CUT_OFF_MS;
  }

  #isRejoined(evidence: FreshnessEvidence, nowMs: number): boolean {
    return !this.#isCutOff(nowMs) && this.#isCurrent(evidence, nowMs);
  }

  #updateReachability(isReachable: boolean, nowMs: number): void {
    if (!isReachable) {
      this.#majorityReachableSinceMs = undefined;
      return;
    }
    this.#majorityReachableSinceMs ??= nowMs;
    this.#lastEvidenceAtMs = nowMs;
  }

  #isCurrent(evidence: FreshnessEvidence, nowMs: number): boolean {
    const { revision, highestReported, headSeenAtMs } = evidence;
    if (revision === 0 || revision < highestReported) return false;
    const isHeadSeen = headSeenAtMs !== undefined &&
      nowMs - headSeenAtMs <= CUT_OFF_MS;
    return isHeadSeen || this.#isLatestOfMajority(evidence, nowMs);
  }

  /** Whether the platform is down and a majority is reachable long enough. */
  #isLatestOfMajority(evidence: FreshnessEvidence, nowMs: number): boolean {
    const failedSinceMs = evidence.platformFailedSinceMs;
    const isDown = failedSinceMs !== undefined &&
      nowMs - failedSinceMs >= PLATFORM_DOWN_MS;
    const reachableSinceMs = this.#majorityReachableSinceMs;
    return isDown && reachableSinceMs !== undefined &&
      nowMs - reachableSinceMs >= MAJORITY_REACHABLE_MS;
  }
}

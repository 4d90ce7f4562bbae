/**
 * Whether a node may rely on its configuration.
 *
 * A started node is ready once it holds the latest revision of the platform,
 * or, while the platform is down, the latest of most nodes. A ready node that
 * is cut off from the platform and from most nodes stops being so.
 */
import type { Revision } from "@camphorlock/types";

/** The platform counts as down after failing for this long. */
export const PLATFORM_DOWN_MS = 3_000;

/** Most nodes have to be heard for this long while the platform is down. */
export const HEARING_MS = 3_000;

/** A node that learns nothing for this long takes no more work. */
export const CUT_OFF_MS = 4_000;

/** Whether the node may serve. */
export type FreshnessState = "starting" | "ready" | "cut_off";

/** What a node knows about its configuration being the latest. */
export interface FreshnessEvidence {
  readonly revision: Revision;
  /** The highest revision that a peer reported. */
  readonly highestHeard: Revision;
  /** When the platform last showed nothing newer. */
  readonly headSeenAtMs: number | undefined;
  readonly platformFailedSinceMs: number | undefined;
  /** Whether most nodes were heard from lately. */
  readonly hearsMost: boolean;
}

/** Follows whether the node may serve under its configuration. */
export class Freshness {
  #state: FreshnessState = "starting";
  #learnedAtMs = 0;
  #hearsMostSinceMs: number | undefined;

  /** Whether the node may serve. */
  get state(): FreshnessState {
    return this.#state;
  }

  /** Updates the state, and gives it if it changed. */
  update(
    evidence: FreshnessEvidence,
    nowMs: number,
  ): FreshnessState | undefined {
    const next = this.#choose(evidence, nowMs);
    if (next === this.#state) return undefined;
    this.#state = next;
    return next;
  }

  #choose(evidence: FreshnessEvidence, nowMs: number): FreshnessState {
    const seenAtMs = evidence.headSeenAtMs ?? -Infinity;
    this.#learnedAtMs = Math.max(this.#learnedAtMs, seenAtMs);
    this.#updateHearing(evidence.hearsMost, nowMs);
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
    return nowMs - this.#learnedAtMs > CUT_OFF_MS;
  }

  #isRejoined(evidence: FreshnessEvidence, nowMs: number): boolean {
    return !this.#isCutOff(nowMs) && this.#isCurrent(evidence, nowMs);
  }

  #updateHearing(hearsMost: boolean, nowMs: number): void {
    if (!hearsMost) {
      this.#hearsMostSinceMs = undefined;
      return;
    }
    this.#hearsMostSinceMs ??= nowMs;
    this.#learnedAtMs = nowMs;
  }

  #isCurrent(evidence: FreshnessEvidence, nowMs: number): boolean {
    const { revision, highestHeard, headSeenAtMs } = evidence;
    if (revision === 0 || revision < highestHeard) return false;
    const isHeadSeen = headSeenAtMs !== undefined &&
      nowMs - headSeenAtMs <= CUT_OFF_MS;
    return isHeadSeen || this.#isLatestOfMost(evidence, nowMs);
  }

  /** Whether the platform is down and most nodes were heard for a while. */
  #isLatestOfMost(evidence: FreshnessEvidence, nowMs: number): boolean {
    const failedSinceMs = evidence.platformFailedSinceMs;
    const isDown = failedSinceMs !== undefined &&
      nowMs - failedSinceMs >= PLATFORM_DOWN_MS;
    const hearsSinceMs = this.#hearsMostSinceMs;
    return isDown && hearsSinceMs !== undefined &&
      nowMs - hearsSinceMs >= HEARING_MS;
  }
}

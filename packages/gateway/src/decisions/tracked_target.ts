/**
 * One target with what the gateway has observed of it.
 */
import type { Target } from "../model/target.ts";
import { type AttemptWork, HeldWork, type RunningWork } from "./held_work.ts";
import { PrefixTracker } from "./prefix_tracker.ts";

/** Time to avoid a target after a failure; doubles per consecutive failure. */
const INITIAL_AVOIDANCE_MS = 200;
/** Longest time that a failing target is avoided before a retry. */
const MAX_AVOIDANCE_MS = 2_000;
/** How long a target that reported being full is avoided. */
const FULL_AVOIDANCE_MS = 60;
/** Time to first response up to which no queue is assumed. */
const BASELINE_DELAY_MS = 80;
/** Time after which an observed delay has decayed to about a third. */
const DELAY_DECAY_MS = 1_500;

/** Properties of an attempt that the choice of other targets depends on. */
export interface AttemptOptions {
  readonly isCrashCandidate?: boolean;
  readonly work?: AttemptWork;
}

/** One target and what the gateway has observed of it. */
export class TrackedTarget {
  target: Target;
  /** Requests of this gateway that run there. */
  running = 0;
  /** Those of them under which another target has just ended. */
  crashCandidates = 0;
  /** When this gateway last sent a request there. */
  lastSentAtMs = Number.NEGATIVE_INFINITY;
  consecutiveFailures = 0;
  avoidedUntilMs = 0;
  /** When a lapsed entry expires; infinite while the store lists it. */
  usableUntilMs = Number.POSITIVE_INFINITY;
  /** Until when no new work is sent, since the target said that it leaves. */
  leavingUntilMs = 0;
  readonly prefixes = new PrefixTracker();
  /** What this gateway's requests there still need. */
  readonly held = new HeldWork();
  /** Start of each attempt without a response so far, by request. */
  readonly #pendingSinceMs = new Map<string, number>();
  #observedDelayMs = 0;
  #observedAtMs = 0;

  constructor(target: Target) {
    this.target = target;
  }

  /** Records the start of an attempt at the target. */
  recordAttempt(
    requestId: string,
    nowMs: number,
    { isCrashCandidate, work }: AttemptOptions = {},
  ): void {
    this.running += 1;
    this.lastSentAtMs = nowMs;
    if (isCrashCandidate === true) this.crashCandidates += 1;
    this.#pendingSinceMs.set(requestId, nowMs);
    if (work !== undefined) this.held.add(requestId, work, nowMs);
  }

  /** Records the end of an attempt; gives what it needed, if that's known. */
  recordAttemptEnd(
    requestId: string,
    nowMs: number,
    { isCrashCandidate }: AttemptOptions = {},
  ): RunningWork | undefined {
    this.running -= 1;
    if (isCrashCandidate === true) this.crashCandidates -= 1;
    this.#recordFirst(requestId, nowMs);
    return this.held.take(requestId);
  }

  /** Records an event of a request's response. */
  recordFirstResponse(requestId: string, nowMs: number): void {
    this.held.recordEvent(requestId, nowMs);
    this.#recordFirst(requestId, nowMs);
  }

  /** Records a request's first response, or that there was none. */
  #recordFirst(requestId: string, nowMs: number): void {
    const sinceMs = this.#pendingSinceMs.get(requestId);
    if (sinceMs === undefined) return;
    this.#pendingSinceMs.delete(requestId);
    const delayMs = Math.max(
      0,
      nowMs - sinceMs - this.#computeBaselineMs(requestId),
    );
    this.#observedDelayMs = Math.max(
      delayMs,
      this.#computeDecayedDelayMs(nowMs),
    );
    this.#observedAtMs = nowMs;
  }

  /** Computes how much longer than usual a request may wait at the target. */
  computeQueueDelayMs(nowMs: number): number {
    return Math.max(
      this.#computeDecayedDelayMs(nowMs),
      this.computeSilenceMs(nowMs),
    );
  }

  /** Computes by how much a pending request has waited longer than expected. */
  computeSilenceMs(nowMs: number): number {
    let silenceMs = 0;
    for (const [requestId, sinceMs] of this.#pendingSinceMs) {
      const baselineMs = this.#computeBaselineMs(requestId);
      silenceMs = Math.max(silenceMs, nowMs - sinceMs - baselineMs);
    }
    return silenceMs;
  }

  #computeBaselineMs(requestId: string): number {
    const expectedMs = this.held.find(requestId)?.work.firstMs ?? 0;
    return Math.max(BASELINE_DELAY_MS, expectedMs);
  }

  #computeDecayedDelayMs(nowMs: number): number {
    const ageMs = nowMs - this.#observedAtMs;
    return this.#observedDelayMs * Math.exp(-ageMs / DELAY_DECAY_MS);
  }
}

/** Records that a target responded. */
export function recordResponse(tracked: TrackedTarget): void {
  tracked.consecutiveFailures = 0;
  tracked.avoidedUntilMs = 0;
}

/** Records that a target was unreachable or broke off a response. */
export function recordFailure(tracked: TrackedTarget, nowMs: number): void {
  const avoidMs = Math.min(
    MAX_AVOIDANCE_MS,
    INITIAL_AVOIDANCE_MS * 2 ** tracked.consecutiveFailures,
  );
  tracked.consecutiveFailures += 1;
  tracked.avoidedUntilMs = nowMs + avoidMs;
}

/** Records that a target rejected a request because it's full. */
export function recordFull(tracked: TrackedTarget, nowMs: number): void {
  tracked.avoidedUntilMs = Math.max(
    tracked.avoidedUntilMs,
    nowMs + FULL_AVOIDANCE_MS,
  );
}

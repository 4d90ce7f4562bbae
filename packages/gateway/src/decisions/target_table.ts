/**
 * The targets that the gateway has discovered, with its observations of each:
 * its own running requests, consecutive failures and the prompts it sent there.
 *
 * A target may also say in a response that it leaves. That holds for the
 * incarnation, whatever its entry says and even if the entry lapses meanwhile.
 *
 * Entries mirror the store. Entries that disappeared while the store was
 * unreachable may only have lapsed; they stay in use until their targets have
 * had time to write them again.
 */
import type { Target } from "../model/target.ts";
import { PrefixTracker } from "./prefix_tracker.ts";

/** Time to avoid a target after a failure; doubles per consecutive failure. */
const INITIAL_AVOIDANCE_MS = 200;
/** Longest time that a failing target is avoided before a retry. */
const MAX_AVOIDANCE_MS = 2_000;
/** How long a target that reported being full is avoided. */
const FULL_AVOIDANCE_MS = 60;
/**
 * How long an incarnation that leaves is remembered: far longer than a target
 * runs after it has said so, and short enough for one that starts again
 * without stating its start.
 */
const LEAVING_MEMORY_MS = 300_000;

/** Time to first response up to which no queue is assumed. */
const BASELINE_DELAY_MS = 80;
/** Time after which an observed delay has decayed to about a third. */
const DELAY_DECAY_MS = 1_500;

/** One target and what the gateway has observed of it. */
export class TrackedTarget {
  target: Target;
  /** Requests of this gateway that run there. */
  running = 0;
  /** Those of them under which another target has just ended. */
  crashCandidates = 0;
  consecutiveFailures = 0;
  avoidedUntilMs = 0;
  /** When a lapsed entry expires; infinite while the store lists it. */
  usableUntilMs = Number.POSITIVE_INFINITY;
  /** Until when no new work is sent, since the target said that it leaves. */
  leavingUntilMs = 0;
  readonly prefixes = new PrefixTracker();
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
    isCrashCandidate = false,
  ): void {
    this.running += 1;
    if (isCrashCandidate) this.crashCandidates += 1;
    this.#pendingSinceMs.set(requestId, nowMs);
  }

  /** Records the end of an attempt. */
  recordAttemptEnd(
    requestId: string,
    nowMs: number,
    isCrashCandidate = false,
  ): void {
    this.running -= 1;
    if (isCrashCandidate) this.crashCandidates -= 1;
    this.recordFirstResponse(requestId, nowMs);
  }

  /** Records a request's first response, or that there was none. */
  recordFirstResponse(requestId: string, nowMs: number): void {
    const sinceMs = this.#pendingSinceMs.get(requestId);
    if (sinceMs === undefined) return;
    this.#pendingSinceMs.delete(requestId);
    const delayMs = Math.max(0, nowMs - sinceMs - BASELINE_DELAY_MS);
    this.#observedDelayMs = Math.max(
      delayMs,
      this.#computeDecayedDelayMs(nowMs),
    );
    this.#observedAtMs = nowMs;
  }

  /** Computes how much longer than usual a request may wait at the target. */
  computeQueueDelayMs(nowMs: number): number {
    let delayMs = this.#computeDecayedDelayMs(nowMs);
    for (const sinceMs of this.#pendingSinceMs.values()) {
      delayMs = Math.max(delayMs, nowMs - sinceMs - BASELINE_DELAY_MS);
    }
    return delayMs;
  }

  #computeDecayedDelayMs(nowMs: number): number {
    const ageMs = nowMs - this.#observedAtMs;
    return this.#observedDelayMs * Math.exp(-ageMs / DELAY_DECAY_MS);
  }
}

/** A change of the table, for the log. */
export interface TargetChange {
  readonly target: Target;
  readonly change: "added" | "updated" | "removed" | "lapsed" | "leaving";
}

/** The targets that the gateway has discovered. */
export class TargetTable {
  readonly #byId = new Map<string, TrackedTarget>();
  /** Incarnations that said that they leave, and until when that counts. */
  readonly #leavingUntilMs = new Map<string, number>();

  /** Number of targets, including lapsed ones. */
  get size(): number {
    return this.#byId.size;
  }

  /** Adds a target or replaces its entry. */
  set(target: Target): TargetChange | undefined {
    const tracked = this.#byId.get(target.id);
    if (tracked === undefined || isNewIncarnation(tracked.target, target)) {
      const added = new TrackedTarget(target);
      added.leavingUntilMs = this.#leavingUntilMs.get(getIncarnation(target)) ??
        0;
      this.#byId.set(target.id, added);
      return { target, change: "added" };
    }
    tracked.usableUntilMs = Number.POSITIVE_INFINITY;
    const hasStateChanged = tracked.target.state !== target.state;
    tracked.target = target;
    return hasStateChanged ? { target, change: "updated" } : undefined;
  }

  /** Records that a target said in a response that it leaves. */
  recordLeaving(target: Target, nowMs: number): TargetChange | undefined {
    const incarnation = getIncarnation(target);
    const isKnown = this.#leavingUntilMs.has(incarnation);
    const untilMs = nowMs + LEAVING_MEMORY_MS;
    // Kept in the order of expiry.
    this.#leavingUntilMs.delete(incarnation);
    this.#leavingUntilMs.set(incarnation, untilMs);
    const tracked = this.#byId.get(target.id);
    if (tracked !== undefined && !isNewIncarnation(tracked.target, target)) {
      tracked.leavingUntilMs = untilMs;
    }
    return isKnown ? undefined : { target, change: "leaving" };
  }

  /** Removes a target now, or at `usableUntilMs` if its entry may return. */
  remove(id: string, usableUntilMs?: number): TargetChange | undefined {
    const tracked = this.#byId.get(id);
    if (tracked === undefined) return undefined;
    const { target } = tracked;
    if (usableUntilMs === undefined) {
      this.#byId.delete(id);
      return { target, change: "removed" };
    }
    tracked.usableUntilMs = Math.min(tracked.usableUntilMs, usableUntilMs);
    return { target, change: "lapsed" };
  }

  /** Removes lapsed entries that have expired. */
  removeExpired(nowMs: number): TargetChange[] {
    for (const [incarnation, untilMs] of this.#leavingUntilMs) {
      if (untilMs > nowMs) break;
      this.#leavingUntilMs.delete(incarnation);
    }
    const lapsed = [...this.#byId.values()]
      .filter(({ usableUntilMs }) => usableUntilMs <= nowMs);
    for (const { target } of lapsed) this.#byId.delete(target.id);
    return lapsed.map(({ target }) => ({ target, change: "removed" }));
  }

  /** Lists all targets. */
  listAll(): Target[] {
    return [...this.#byId.values()].map(({ target }) => target);
  }

  /** Forgets failures that had another reason than the targets. */
  resetFailures(): void {
    for (const tracked of this.#byId.values()) recordResponse(tracked);
  }

  /** Lists the ids of all targets. */
  listIds(): string[] {
    return [...this.#byId.keys()];
  }

  find(id: string): TrackedTarget | undefined {
    return this.#byId.get(id);
  }

  /** Lists the targets of a service that accept new work. */
  listReady(service: string, nowMs: number): TrackedTarget[] {
    return [...this.#byId.values()].filter((tracked) =>
      tracked.target.service === service && canTakeWork(tracked, nowMs)
    );
  }

  /** Whether a target still accepts new work. */
  isReady(id: string, nowMs: number): boolean {
    const tracked = this.#byId.get(id);
    return tracked !== undefined && canTakeWork(tracked, nowMs);
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

function canTakeWork(
  { target, usableUntilMs, leavingUntilMs }: TrackedTarget,
  nowMs: number,
): boolean {
  return target.state === "ready" && usableUntilMs > nowMs &&
    leavingUntilMs <= nowMs;
}

/** Gets where a target listens. */
export function getAddress({ host, port }: Target): string {
  return `${host}:${port}`;
}

/** Identifies one incarnation of a target. */
export function getIncarnation(target: Target): string {
  const { id, startedAtMs } = target;
  return `${id} ${getAddress(target)} ${startedAtMs}`;
}

function isNewIncarnation(before: Target, after: Target): boolean {
  return before.startedAtMs !== after.startedAtMs ||
    before.host !== after.host || before.port !== after.port ||
    before.service !== after.service;
}

/**
 * The targets that the gateway knows, with what it has observed of each: its
 * own running requests, failures in a row and the prompts it sent there.
 *
 * Entries follow the store. Entries that vanish while the store was out of
 * reach may only have lapsed; they stay in use until they had the time to be
 * written again.
 */
import type { Target } from "../model/target.ts";
import { PrefixMemory } from "./prefix_memory.ts";

/** How long a target is avoided after its first failure in a row. */
const FIRST_SUSPICION_MS = 200;
/** Longest time that a failing target is avoided before it's tried again. */
const MAX_SUSPICION_MS = 2_000;
/** How long a target that reported to be full is passed over. */
const FULL_MS = 60;

/** Time to a first answer that tells of no queue. */
const USUAL_DELAY_MS = 80;
/** Time after which an observed delay counts for about a third. */
const FORGET_DELAY_MS = 1_500;

/** One target and what is known of it. */
export class KnownTarget {
  target: Target;
  /** Requests of this gateway that run there. */
  running = 0;
  failuresInRow = 0;
  avoidedUntilMs = 0;
  /** When a lapsed entry stops being used; infinite while it's listed. */
  usableUntilMs = Number.POSITIVE_INFINITY;
  readonly prefixes = new PrefixMemory();
  /** When each send began that has no answer yet. */
  readonly #waitingSinceMs = new Map<string, number>();
  #delayMs = 0;
  #delayedAtMs = 0;

  constructor(target: Target) {
    this.target = target;
  }

  /** Records that a request was sent there. */
  recordSend(requestId: string, nowMs: number): void {
    this.#waitingSinceMs.set(requestId, nowMs);
  }

  /** Records a request's first answer, or that it got none. */
  recordFirstAnswer(requestId: string, nowMs: number): void {
    const sinceMs = this.#waitingSinceMs.get(requestId);
    if (sinceMs === undefined) return;
    this.#waitingSinceMs.delete(requestId);
    const delayMs = Math.max(0, nowMs - sinceMs - USUAL_DELAY_MS);
    this.#delayMs = Math.max(delayMs, this.#computeKeptDelayMs(nowMs));
    this.#delayedAtMs = nowMs;
  }

  /** Computes how much longer than usual a request may wait there. */
  computeDelayMs(nowMs: number): number {
    let delayMs = this.#computeKeptDelayMs(nowMs);
    for (const sinceMs of this.#waitingSinceMs.values()) {
      delayMs = Math.max(delayMs, nowMs - sinceMs - USUAL_DELAY_MS);
    }
    return delayMs;
  }

  #computeKeptDelayMs(nowMs: number): number {
    const ageMs = nowMs - this.#delayedAtMs;
    return this.#delayMs * Math.exp(-ageMs / FORGET_DELAY_MS);
  }
}

/** A change of the table, for the log. */
export interface TargetChange {
  readonly target: Target;
  readonly change: "added" | "updated" | "removed" | "lapsed";
}

/** The known targets. */
export class TargetTable {
  readonly #byId = new Map<string, KnownTarget>();

  /** Number of targets known. */
  get size(): number {
    return this.#byId.size;
  }

  /** Adds a target or replaces what its entry said before. */
  set(target: Target): TargetChange | undefined {
    const known = this.#byId.get(target.id);
    if (known === undefined || isNewIncarnation(known.target, target)) {
      this.#byId.set(target.id, new KnownTarget(target));
      return { target, change: "added" };
    }
    known.usableUntilMs = Number.POSITIVE_INFINITY;
    const isChanged = known.target.state !== target.state;
    known.target = target;
    return isChanged ? { target, change: "updated" } : undefined;
  }

  /** Removes a target at once, or at `usableUntilMs` if its entry may return. */
  remove(id: string, usableUntilMs?: number): TargetChange | undefined {
    const known = this.#byId.get(id);
    if (known === undefined) return undefined;
    const { target } = known;
    if (usableUntilMs === undefined) {
      this.#byId.delete(id);
      return { target, change: "removed" };
    }
    known.usableUntilMs = Math.min(known.usableUntilMs, usableUntilMs);
    return { target, change: "lapsed" };
  }

  /** Drops lapsed entries whose time is over. */
  removeLapsed(nowMs: number): TargetChange[] {
    const lapsed = [...this.#byId.values()]
      .filter(({ usableUntilMs }) => usableUntilMs <= nowMs);
    for (const { target } of lapsed) this.#byId.delete(target.id);
    return lapsed.map(({ target }) => ({ target, change: "removed" }));
  }

  /** Lists the ids of every known target. */
  listIds(): string[] {
    return [...this.#byId.keys()];
  }

  find(id: string): KnownTarget | undefined {
    return this.#byId.get(id);
  }

  /** Lists the targets of a service that take new work. */
  listReady(service: string, nowMs: number): KnownTarget[] {
    return [...this.#byId.values()].filter(({ target, usableUntilMs }) =>
      target.service === service && target.state === "ready" &&
      usableUntilMs > nowMs
    );
  }

  /** Whether a target still takes new work. */
  isReady(id: string, nowMs: number): boolean {
    const known = this.#byId.get(id);
    return known !== undefined && known.target.state === "ready" &&
      known.usableUntilMs > nowMs;
  }
}

/** Records that a target answered. */
export function recordAnswer(known: KnownTarget): void {
  known.failuresInRow = 0;
  known.avoidedUntilMs = 0;
}

/** Records that a target couldn't be reached or broke off. */
export function recordFailure(known: KnownTarget, nowMs: number): void {
  const avoidMs = Math.min(
    MAX_SUSPICION_MS,
    FIRST_SUSPICION_MS * 2 ** known.failuresInRow,
  );
  known.failuresInRow += 1;
  known.avoidedUntilMs = nowMs + avoidMs;
}

/** Records that a target turned a request away because it's full. */
export function recordFull(known: KnownTarget, nowMs: number): void {
  known.avoidedUntilMs = Math.max(known.avoidedUntilMs, nowMs + FULL_MS);
}

function isNewIncarnation(before: Target, after: Target): boolean {
  return before.startedAtMs !== after.startedAtMs ||
    before.host !== after.host || before.port !== after.port ||
    before.service !== after.service;
}

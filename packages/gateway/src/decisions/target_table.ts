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
import { TargetIndex } from "./target_index.ts";
import { recordResponse, TrackedTarget } from "./tracked_target.ts";

export {
  recordFailure,
  recordFull,
  recordResponse,
  TrackedTarget,
} from "./tracked_target.ts";

/**
 * How long an incarnation that leaves is remembered: far longer than a target
 * runs after it has said so, and short enough for one that starts again
 * without stating its start.
 */
const LEAVING_MEMORY_MS = 300_000;

/** A change of the table, for the log. */
export interface TargetChange {
  readonly target: Target;
  readonly change: "added" | "updated" | "removed" | "lapsed" | "leaving";
}

/** The targets that the gateway has discovered. */
export class TargetTable {
  readonly #byId = new Map<string, TrackedTarget>();
  readonly #byService = new Map<string, TargetIndex<TrackedTarget>>();
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
      if (tracked !== undefined) this.#removeEntry(tracked);
      this.#byId.set(target.id, added);
      this.#getIndex(target.service).add(added);
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
      this.#removeEntry(tracked);
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
    for (const tracked of lapsed) this.#removeEntry(tracked);
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
    const { entries } = this.findIndex(service) ?? { entries: [] };
    return entries.filter((tracked) => canTakeWork(tracked, nowMs));
  }

  /** Whether any target of a service accepts new work. */
  hasReady(service: string, nowMs: number): boolean {
    const { entries } = this.findIndex(service) ?? { entries: [] };
    return entries.some((tracked) => canTakeWork(tracked, nowMs));
  }

  /** Finds the targets of a service, from which a choice takes a few. */
  findIndex(service: string): TargetIndex<TrackedTarget> | undefined {
    return this.#byService.get(service);
  }

  #getIndex(service: string): TargetIndex<TrackedTarget> {
    const index = this.findIndex(service) ?? new TargetIndex();
    this.#byService.set(service, index);
    return index;
  }

  #removeEntry(tracked: TrackedTarget): void {
    const { id, service } = tracked.target;
    this.#byId.delete(id);
    const index = this.#getIndex(service);
    index.remove(tracked);
    if (index.entries.length === 0) this.#byService.delete(service);
  }

  /** Whether a target still accepts new work. */
  isReady(id: string, nowMs: number): boolean {
    const tracked = this.#byId.get(id);
    return tracked !== undefined && canTakeWork(tracked, nowMs);
  }
}

/** Whether a target accepts new work. */
export function canTakeWork(
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

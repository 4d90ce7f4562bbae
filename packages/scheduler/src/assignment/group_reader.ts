/**
 * Keeps the known groups up to date with the platform.
 *
 * A few nodes of each region watch; every node looks at all versions now and
 * then, in case that news were lost; and a group is read when there's a reason.
 */
import type {
  Effect,
  NodeSpec,
  PlatformAnswer,
  ShardId,
} from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { Fleet } from "./fleet.ts";
import type { GroupBook, GroupState } from "./group_book.ts";
import { ASSIGNMENT_PREFIX, formatGroupKey } from "./group_codec.ts";
import type { PlatformCalls } from "./platform_calls.ts";
import { sortByScore } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";

/** What a reader is made of. */
export interface GroupReaderParts {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly groups: GroupBook;
  readonly calls: PlatformCalls;
}

/** The reads of one node. */
export class GroupReader {
  readonly #parts: GroupReaderParts;
  #candidates = 0;
  #isListing = false;
  #isWatcher = false;
  #isWatching = false;
  #watchPosition = 0;
  #nextWatchMs = 0;
  #nextPollMs: number | undefined;

  constructor(parts: GroupReaderParts) {
    this.#parts = parts;
  }

  /** Finds out whether this node is one of the few of its region that watch. */
  setFleet(fleet: Fleet): void {
    const { self, settings } = this.#parts;
    const near = fleet.candidates
      .filter((node) => node.spec.region === self.region)
      .map((node) => node.spec.vmId);
    const sorted = sortByScore("watch", near);
    const watchers = sorted.slice(0, settings.watchersPerRegion);
    this.#candidates = fleet.candidates.length;
    this.#isWatcher = watchers.includes(self.vmId);
  }

  /** Builds the calls that are due. */
  buildCalls(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    if (this.#isPollDue(nowMs)) effects.push(this.#readIfDue(nowMs));
    if (this.#isWatchDue(nowMs)) effects.push(this.#watch(nowMs));
    for (const state of this.#parts.groups.list()) {
      if (state.busy || state.readAtMs === undefined) continue;
      if (nowMs >= state.readAtMs) effects.push(this.read(state, nowMs));
    }
    return effects;
  }

  /** Builds the read of one group. */
  read(state: GroupState, nowMs: number): Effect {
    const { group } = state;
    state.busy = true;
    state.readAtMs = undefined;
    const request = { kind: "get", key: formatGroupKey(group) } as const;
    return this.#parts.calls.open({ kind: "read", group }, { request, nowMs });
  }

  /** Asks for a read of a shard's group, not too soon after the last. */
  startRead(shard: ShardId, nowMs: number): void {
    const { groups, settings } = this.#parts;
    const state = groups.findOf(shard);
    if (state === undefined) return;
    const earliestMs = state.learntAtMs + settings.readGapMs;
    state.readAtMs ??= Math.max(nowMs, earliestMs);
  }

  /** Takes the list of all versions. */
  handleListed(answer: PlatformAnswer, nowMs: number): void {
    this.#isListing = false;
    this.#nextPollMs = nowMs + this.#computePollWait(nowMs);
    if (answer.kind !== "listed") return;
    this.#parts.groups.applyKeys(answer.keys, nowMs);
    this.#parts.groups.applyAbsent(answer.keys, nowMs);
  }

  /** Takes the changes that a watch tells of, and gathers more for a while. */
  handleChanged(answer: PlatformAnswer, nowMs: number): void {
    this.#isWatching = false;
    if (answer.kind !== "changed") return;
    const { groups, settings } = this.#parts;
    this.#watchPosition = answer.position;
    this.#nextWatchMs = nowMs + settings.watchGatherMs;
    groups.applyKeys(answer.keys, this.#nextWatchMs);
  }

  /** Notes that a list or watch failed; it's asked again when it may be. */
  handleFailure(kind: "list" | "watch"): void {
    if (kind === "list") this.#isListing = false;
    else this.#isWatching = false;
  }

  #isPollDue(nowMs: number): boolean {
    const { self, settings } = this.#parts;
    const name = `${self.vmId}|${self.incarnation}|poll`;
    this.#nextPollMs ??= nowMs + computeFraction(name) * settings.startSpreadMs;
    return !this.#isListing && nowMs >= this.#nextPollMs;
  }

  #isWatchDue(nowMs: number): boolean {
    return this.#isWatcher && !this.#isWatching && nowMs >= this.#nextWatchMs;
  }

  #readIfDue(nowMs: number): Effect {
    this.#isListing = true;
    const limit = this.#parts.groups.list().length;
    return this.#parts.calls.open({ kind: "list" }, {
      request: { kind: "list", prefix: ASSIGNMENT_PREFIX, limit },
      nowMs,
    });
  }

  #watch(nowMs: number): Effect {
    this.#isWatching = true;
    const afterPosition = this.#watchPosition;
    return this.#parts.calls.open({ kind: "watch" }, {
      request: { kind: "watch", prefix: ASSIGNMENT_PREFIX, afterPosition },
      nowMs,
    });
  }

  #computePollWait(nowMs: number): number {
    const { self, settings } = this.#parts;
    const { pollPeriodMs, pollPeriodPerNodeMs } = settings;
    const byFleetMs = this.#candidates * pollPeriodPerNodeMs;
    const jitter = computeFraction(`${self.vmId}|${nowMs}`);
    return Math.max(pollPeriodMs, byFleetMs) * (0.75 + jitter / 2);
  }
}

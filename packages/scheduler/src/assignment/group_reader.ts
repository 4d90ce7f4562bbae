/**
 * Keeps the cached groups up to date with the platform.
 *
 * A few nodes of each region watch for changes. Every node polls all versions
 * periodically, in case an update was lost. A group is read when its stored
 * version may have changed.
 */
import type {
  Effect,
  NodeSpec,
  PlatformResponse,
  ShardId,
} from "@camphorlock/types";
import { computeFraction } from "../hash.ts";
import type { Fleet } from "./fleet.ts";
import { ASSIGNMENT_PREFIX, formatGroupKey } from "./group_codec.ts";
import type { GroupState, GroupTable } from "./group_table.ts";
import type { PlatformCalls } from "./platform_calls.ts";
import { sortByScore } from "./rendezvous.ts";
import type { AssignmentSettings } from "./settings.ts";

/** The dependencies of a reader. */
export interface GroupReaderDependencies {
  readonly self: NodeSpec;
  readonly settings: AssignmentSettings;
  readonly groups: GroupTable;
  readonly calls: PlatformCalls;
}

/** Builds and handles the platform reads of one node. */
export class GroupReader {
  readonly #dependencies: GroupReaderDependencies;
  #candidateCount = 0;
  #isListing = false;
  #isWatcher = false;
  #isWatching = false;
  #watchPosition = 0;
  #nextWatchMs = 0;
  #nextPollMs: number | undefined;

  constructor(dependencies: GroupReaderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Updates whether this node is one of its region's watchers. */
  setFleet(fleet: Fleet): void {
    const { self, settings } = this.#dependencies;
    const regionVmIds = fleet.candidates
      .filter((node) => node.spec.region === self.region)
      .map((node) => node.spec.vmId);
    const sorted = sortByScore("watch", regionVmIds);
    const watchers = sorted.slice(0, settings.watchersPerRegion);
    this.#candidateCount = fleet.candidates.length;
    this.#isWatcher = watchers.includes(self.vmId);
  }

  /** Builds the polls, watches and reads that are due. */
  buildCalls(nowMs: number): Effect[] {
    const effects: Effect[] = [];
    if (this.#isPollDue(nowMs)) effects.push(this.#buildList(nowMs));
    if (this.#isWatchDue(nowMs)) effects.push(this.#buildWatch(nowMs));
    for (const state of this.#dependencies.groups.list()) {
      if (state.isCallInFlight || state.nextReadMs === undefined) continue;
      if (nowMs >= state.nextReadMs) effects.push(this.buildRead(state, nowMs));
    }
    return effects;
  }

  /** Builds the read of one group. */
  buildRead(state: GroupState, nowMs: number): Effect {
    const { group } = state;
    state.isCallInFlight = true;
    state.nextReadMs = undefined;
    const request = { kind: "get", key: formatGroupKey(group) } as const;
    return this.#dependencies.calls.register({ kind: "read", group }, {
      request,
      nowMs,
    });
  }

  /** Schedules a read of a shard's group, respecting the shortest interval. */
  scheduleRead(shard: ShardId, nowMs: number): void {
    const { groups, settings } = this.#dependencies;
    const state = groups.findByShard(shard);
    if (state === undefined) return;
    const earliestMs = state.confirmedAtMs + settings.minReadIntervalMs;
    state.nextReadMs ??= Math.max(nowMs, earliestMs);
  }

  /** Handles the list of all versions. */
  handleList(response: PlatformResponse, nowMs: number): void {
    this.#isListing = false;
    this.#nextPollMs = nowMs + this.#computePollWait(nowMs);
    if (response.kind !== "listed") return;
    this.#dependencies.groups.applyVersions(response.keys, nowMs);
    this.#dependencies.groups.applyAbsentGroups(response.keys, nowMs);
  }

  /** Handles changes reported by a watch; their reads wait to form a batch. */
  handleWatch(response: PlatformResponse, nowMs: number): void {
    this.#isWatching = false;
    if (response.kind !== "changed") return;
    const { groups, settings } = this.#dependencies;
    this.#watchPosition = response.position;
    this.#nextWatchMs = nowMs + settings.watchBatchMs;
    groups.applyVersions(response.keys, this.#nextWatchMs);
  }

  /** Handles a failed list or watch; the call is repeated when it's due. */
  handleFailure(kind: "list" | "watch"): void {
    if (kind === "list") this.#isListing = false;
    else this.#isWatching = false;
  }

  #isPollDue(nowMs: number): boolean {
    const { self, settings } = this.#dependencies;
    const name = `${self.vmId}|${self.incarnation}|poll`;
    this.#nextPollMs ??= nowMs + computeFraction(name) * settings.startSpreadMs;
    return !this.#isListing && nowMs >= this.#nextPollMs;
  }

  #isWatchDue(nowMs: number): boolean {
    return this.#isWatcher && !this.#isWatching && nowMs >= this.#nextWatchMs;
  }

  #buildList(nowMs: number): Effect {
    this.#isListing = true;
    const limit = this.#dependencies.groups.list().length;
    return this.#dependencies.calls.register({ kind: "list" }, {
      request: { kind: "list", prefix: ASSIGNMENT_PREFIX, limit },
      nowMs,
    });
  }

  #buildWatch(nowMs: number): Effect {
    this.#isWatching = true;
    const afterPosition = this.#watchPosition;
    return this.#dependencies.calls.register({ kind: "watch" }, {
      request: { kind: "watch", prefix: ASSIGNMENT_PREFIX, afterPosition },
      nowMs,
    });
  }

  #computePollWait(nowMs: number): number {
    const { self, settings } = this.#dependencies;
    const { pollPeriodMs, pollPeriodPerNodeMs } = settings;
    const fleetPeriodMs = this.#candidateCount * pollPeriodPerNodeMs;
    const jitter = computeFraction(`${self.vmId}|${nowMs}`);
    return Math.max(pollPeriodMs, fleetPeriodMs) * (0.75 + jitter / 2);
  }
}

/**
 * The few targets of a service among which one request's target is chosen, so
 * that a choice costs the same at 30 and at 12,000 targets.
 */
import type { TargetIndex } from "../decisions/target_index.ts";
import { canTakeWork, type TrackedTarget } from "../decisions/target_table.ts";
import { computeHash } from "@camphorlock/scheduler/hash";
import type { Location } from "./compute_estimate.ts";

/** Targets of a service that one gateway uses, unless its requests need more. */
export const MAX_USED_TARGETS = 64;
/** Of these, targets in the gateway's failure domain and region. */
const DOMAIN_TARGETS = 24;
const REGION_TARGETS = 16;
/** Targets that are drawn for one request where others' load is known. */
const DRAWN_NEAR = 2;
const DRAWN_MEETING = 1;
const DRAWN_OTHERS = 1;

interface UsedTargets {
  readonly revision: number;
  /** Those of the gateway's region. */
  readonly near: readonly TrackedTarget[];
  readonly entries: readonly TrackedTarget[];
}

/** What the candidates of one request depend on. */
export interface CandidateOptions {
  /** The target of the conversation so far. */
  readonly previous: TrackedTarget | undefined;
  /** Targets that rank first for the request's shared parts or object. */
  readonly ranked: readonly TrackedTarget[];
  /** Whether all targets in use are compared, or a sample of them. */
  readonly isSampled: boolean;
  readonly nowMs: number;
  readonly takeRandom: () => number;
}

/** Lists the candidates of requests at one gateway. */
export class Candidates {
  readonly #location: Location & { readonly vmId: string };
  /** By index: a service without targets gets a new one when they return. */
  readonly #used = new WeakMap<TargetIndex<TrackedTarget>, UsedTargets>();

  constructor(location: Location & { readonly vmId: string }) {
    this.#location = location;
  }

  /** Lists the candidates of a request that accept work. */
  list(
    index: TargetIndex<TrackedTarget>,
    options: CandidateOptions,
  ): TrackedTarget[] {
    const { previous, ranked, isSampled, nowMs, takeRandom } = options;
    const used = this.listUsed(index);
    const listed = new Set<TrackedTarget>();
    // It may be another service's by now.
    if (previous?.target.service === used[0]?.target.service) {
      if (previous !== undefined) listed.add(previous);
    }
    const drawn = isSampled
      ? chooseSome(this.#getUsed(index).near, DRAWN_NEAR, takeRandom)
      : used;
    for (const entry of [...ranked, ...drawn]) listed.add(entry);
    return [...listed].filter((entry) => canTakeWork(entry, nowMs));
  }

  /** Draws some of all targets in use, for a request that finds none near. */
  chooseOthers(
    index: TargetIndex<TrackedTarget>,
    { nowMs, takeRandom }: Pick<CandidateOptions, "nowMs" | "takeRandom">,
  ): TrackedTarget[] {
    return chooseSome(this.listUsed(index), DRAWN_OTHERS, takeRandom)
      .filter((entry) => canTakeWork(entry, nowMs));
  }

  /** Lists all targets in use, and others at random in a large service. */
  listMany(
    index: TargetIndex<TrackedTarget>,
    { nowMs, takeRandom }: Pick<CandidateOptions, "nowMs" | "takeRandom">,
  ): TrackedTarget[] {
    const start = Math.floor(takeRandom() * index.entries.length);
    const listed = new Set([
      ...this.listUsed(index),
      ...listSpread(index.entries, MAX_USED_TARGETS, start),
    ]);
    return [...listed].filter((entry) => canTakeWork(entry, nowMs));
  }

  /** Draws some of the targets at which the requests of a part meet. */
  chooseMeeting(
    ranked: readonly TrackedTarget[],
    { nowMs, takeRandom }: Pick<CandidateOptions, "nowMs" | "takeRandom">,
  ): TrackedTarget[] {
    return chooseSome(
      ranked.filter((entry) => canTakeWork(entry, nowMs)),
      DRAWN_MEETING,
      takeRandom,
    );
  }

  /** Lists the targets of a service that this gateway uses. */
  listUsed(index: TargetIndex<TrackedTarget>): readonly TrackedTarget[] {
    return this.#getUsed(index).entries;
  }

  #getUsed(index: TargetIndex<TrackedTarget>): UsedTargets {
    const known = this.#used.get(index);
    if (known?.revision === index.revision) return known;
    const { regions, failureDomain } = this.#location;
    const region = regions.get(failureDomain);
    const entries = this.#chooseUsed(index);
    const near = entries.filter(({ target }) =>
      regions.get(target.failureDomain) === region
    );
    const used = { revision: index.revision, near, entries };
    this.#used.set(index, used);
    return used;
  }

  #chooseUsed(index: TargetIndex<TrackedTarget>): readonly TrackedTarget[] {
    if (index.entries.length <= MAX_USED_TARGETS) return [...index.entries];
    const { vmId, failureDomain, regions } = this.#location;
    const region = regions.get(failureDomain);
    const start = computeHash(vmId);
    const used = new Set(
      listSpread(index.domains.get(failureDomain) ?? [], DOMAIN_TARGETS, start),
    );
    const near = [...index.domains].filter(([domain]) =>
      regions.get(domain) === region
    );
    for (const [, entries] of near) {
      const count = Math.ceil(REGION_TARGETS / near.length);
      for (const each of listSpread(entries, count, start)) used.add(each);
    }
    const left = MAX_USED_TARGETS - used.size;
    for (const each of listSpread(index.entries, left, start)) used.add(each);
    return [...used].slice(0, MAX_USED_TARGETS);
  }
}

/** Draws some entries, with or without a repetition. */
function chooseSome<Entry>(
  entries: readonly Entry[],
  count: number,
  takeRandom: () => number,
): Entry[] {
  return Array.from(
    { length: count },
    () => entries[Math.floor(takeRandom() * entries.length)],
  ).filter((entry) => entry !== undefined);
}

/** Lists entries at even distances, which differ from gateway to gateway. */
function listSpread<Entry>(
  entries: readonly Entry[],
  count: number,
  start: number,
): Entry[] {
  const step = Math.max(1, entries.length / Math.max(1, count));
  return Array.from(
    { length: Math.min(count, entries.length) },
    (_, position) =>
      entries[Math.floor(start + position * step) % entries.length],
  ).filter((entry) => entry !== undefined);
}

/**
 * Decides at which target a request runs, and learns from its attempts.
 */
import {
  canTakeWork,
  getAddress,
  type TargetTable,
  type TrackedTarget,
} from "../decisions/target_table.ts";
import type { AttemptWork } from "../decisions/held_work.ts";
import type { Service } from "../model/routing.ts";
import type { PlacementPolicy } from "../ports.ts";
import { AttemptLearner } from "./attempt_learner.ts";
import { buildWork } from "./build_work.ts";
import { Candidates } from "./candidates.ts";
import {
  isLastResort,
  type PlacementRequest,
  placeRequest,
} from "./choose_target.ts";
import {
  computeCrowdingMs,
  hasShared,
  listShared,
  type Location,
  type WorkInputs,
} from "./compute_estimate.ts";
import { ConversationTargets } from "./conversation_targets.ts";
import { placeByFixedCosts } from "./fixed_costs.ts";
import { PartDemand } from "./part_demand.ts";
import { type LoadSource, NO_LOAD } from "./target_load.ts";
import type { PlacementChoice } from "./work_estimate.ts";
import { type PlacedRequest, WorkInputBuilder } from "./work_inputs.ts";
import { WorkModel } from "./work_model.ts";

/** Targets that rank first for an object's requests. */
const OBJECT_TARGETS = 4;
/** Above it, targets farther away are compared, too. */
const GOOD_ENOUGH_MS = 50;
/** After its last request, a service's targets are in use this long. */
const SERVICE_USE_MS = 10_000;

/** The gateway's location, and where placement finds what it decides by. */
export interface PlacementOptions extends Location {
  readonly vmId: string;
  readonly policy: PlacementPolicy;
  readonly targets: TargetTable;
  readonly findService: (name: string) => Service | undefined;
  readonly model?: WorkModel;
  readonly load?: LoadSource;
  /** Called when an attempt starts at a target. */
  readonly onStart?: (entry: TrackedTarget, nowMs: number) => void;
  readonly takeRandom?: () => number;
}

/** What the request's earlier attempts rule out. */
export interface PlacementLimits {
  readonly service: string;
  readonly previousTargetId: string | undefined;
  readonly isCrashCandidate: boolean;
  readonly excluded: ReadonlySet<string>;
  readonly avoidedAddress: string | undefined;
  /** The only targets that may be chosen, if the request is bound to some. */
  readonly only: readonly TrackedTarget[] | undefined;
  readonly isPaused: (targetId: string) => boolean;
}

/** A choice with its inputs, for the log and for what is learned from it. */
export interface RecordedChoice extends PlacementChoice {
  readonly candidates: number;
  readonly viewAgeMs: number;
  readonly work: AttemptWork;
}

/** Chooses targets and learns what requests cost there. */
export class Placement {
  readonly model: WorkModel;
  readonly learner: AttemptLearner;
  readonly candidates: Candidates;
  readonly conversations = new ConversationTargets();
  readonly #options: PlacementOptions;
  readonly #load: LoadSource;
  readonly #inputs: WorkInputBuilder;
  readonly #takeRandom: () => number;
  readonly #demand = new PartDemand();
  /** When a target of each service was last chosen. */
  readonly #usedAtMs = new Map<string, number>();

  constructor(options: PlacementOptions) {
    this.#options = options;
    this.#load = options.load ?? NO_LOAD;
    this.model = options.model ?? new WorkModel();
    this.#takeRandom = options.takeRandom ?? Math.random;
    this.candidates = new Candidates(options);
    const { model } = this;
    this.#inputs = new WorkInputBuilder({
      ...options,
      load: this.#load,
      model,
    });
    this.learner = new AttemptLearner(this.#inputs, options);
  }

  /** Chooses a target; undefined if none can take the request now. */
  choose(
    request: PlacedRequest,
    limits: PlacementLimits,
    nowMs: number,
  ): RecordedChoice | undefined {
    this.#usedAtMs.set(limits.service, nowMs);
    const built = this.#buildRequest(request, limits, nowMs);
    if (!this.isLearned) return this.#chooseByFixedCosts(built, limits);
    const ranked = this.#listRanked(request, limits.service, nowMs);
    const isUsable = ({ target }: TrackedTarget) =>
      !limits.isPaused(target.id) &&
      getAddress(target) !== limits.avoidedAddress;
    const asked = {
      ...built,
      meetingTargets: new Set(ranked.map(({ target }) => target.id)),
    };
    let candidates = (limits.only ?? this.#listCandidates(built, {
      ...limits,
      ranked,
    })).filter(isUsable);
    let choice = placeRequest(candidates, asked);
    if (limits.only === undefined && this.#needsOthers(choice, asked)) {
      const others = this.#listOthers(limits.service, choice, nowMs)
        .filter(isUsable);
      candidates = [...new Set([...candidates, ...others])];
      choice = placeRequest(candidates, asked);
    }
    if (choice === undefined) return undefined;
    return {
      ...choice,
      candidates: candidates.length,
      viewAgeMs: this.#load.computeAgeMs(nowMs),
      work: buildWork(choice, built, this.#load),
    };
  }

  #chooseByFixedCosts(
    request: PlacementRequest & { readonly work: WorkInputs },
    { service, only, isPaused, avoidedAddress }: PlacementLimits,
  ): RecordedChoice | undefined {
    const all = only ?? this.#options.targets.findIndex(service)?.entries ?? [];
    const candidates = all.filter((entry) =>
      canTakeWork(entry, request.nowMs) && !isPaused(entry.target.id) &&
      getAddress(entry.target) !== avoidedAddress
    );
    const choice = placeByFixedCosts(candidates, request);
    return choice && {
      ...choice,
      candidates: candidates.length,
      viewAgeMs: Number.POSITIVE_INFINITY,
      work: buildWork(choice, request, this.#load),
    };
  }

  /** Whether targets are chosen by learned costs. */
  get isLearned(): boolean {
    return this.#options.policy === "learned";
  }

  /** Records that an attempt starts. */
  recordStart(
    { fields, route }: PlacedRequest,
    entry: TrackedTarget,
    nowMs: number,
  ): void {
    const [part] = listShared(fields.prompt);
    const { service } = entry.target;
    if (part !== undefined) this.#demand.record(service, part.id, nowMs);
    if (!this.isLearned) return;
    if (route.kind === "streaming") {
      this.conversations.record(fields, entry.target.id);
    }
    this.#options.onStart?.(entry, nowMs);
  }

  /** Lists the ids of the targets among which this gateway chooses. */
  listUsedTargets(nowMs: number): string[] {
    return [...this.#usedAtMs].flatMap(([service, atMs]) => {
      const index = this.#options.targets.findIndex(service);
      if (index !== undefined && nowMs - atMs < SERVICE_USE_MS) {
        return this.candidates.listUsed(index).map(({ target }) => target.id);
      }
      this.#usedAtMs.delete(service);
      return [];
    });
  }

  #buildRequest(
    { fields, ...request }: PlacedRequest,
    limits: PlacementLimits,
    nowMs: number,
  ): PlacementRequest & { readonly work: WorkInputs } {
    const { vmId, failureDomain, regions } = this.#options;
    const { service, previousTargetId, isCrashCandidate, excluded } = limits;
    return {
      vmId,
      failureDomain,
      regions,
      prompt: fields.prompt,
      affinityKey: fields.affinityKey,
      isCrashCandidate,
      previousTargetId,
      excluded,
      nowMs,
      work: this.#inputs.build({ fields, ...request }, service),
      // Until then all targets look alike, and each gateway prefers others.
      ...this.model.isKnown(service) ? { takeRandom: this.#takeRandom } : {},
    };
  }

  /** Lists where the requests of a shared part or about an object meet. */
  #listRanked(
    { fields }: PlacedRequest,
    service: string,
    nowMs: number,
  ): TrackedTarget[] {
    const index = this.#options.targets.findIndex(service);
    if (index === undefined) return [];
    const { prompt, affinityKey } = fields;
    if (affinityKey !== undefined) {
      return index.listRanked(affinityKey, OBJECT_TARGETS);
    }
    const [part] = listShared(prompt);
    if (part === undefined) return [];
    const count = this.#demand.computeTargets(
      { service, partId: part.id },
      index.entries.length,
      nowMs,
    );
    return index.listRanked(part.id, count);
  }

  /**
   * Lists the candidates. Where the load is known, targets at which a shared
   * part's requests meet are added only while others lack the part: if all
   * targets have room for it, there's no need to meet.
   */
  #listCandidates(
    request: PlacementRequest,
    { service, ranked }: {
      readonly service: string;
      readonly ranked: readonly TrackedTarget[];
    },
  ): TrackedTarget[] {
    const index = this.#options.targets.findIndex(service);
    if (index === undefined) return [];
    const { previousTargetId = "", nowMs, affinityKey } = request;
    const isSampled = Number.isFinite(this.#load.computeAgeMs(nowMs));
    const takeRandom = this.#takeRandom;
    const isMeeting = isSampled && affinityKey === undefined;
    const listed = this.candidates.list(index, {
      previous: this.#options.targets.find(previousTargetId),
      ranked: isMeeting ? [] : ranked,
      isSampled,
      nowMs,
      takeRandom,
    });
    if (!isMeeting || listed.every((entry) => hasShared(entry, request))) {
      return listed;
    }
    const met = this.candidates.chooseMeeting(ranked, { nowMs, takeRandom });
    return [...new Set([...listed, ...met])];
  }

  /** Whether the best of the near targets is so busy or slow that others pay. */
  #needsOthers(
    choice: PlacementChoice | undefined,
    { work, nowMs }: PlacementRequest & { readonly work: WorkInputs },
  ): boolean {
    if (isLastResort(choice, nowMs)) return true;
    if (!Number.isFinite(this.#load.computeAgeMs(nowMs))) return false;
    if (choice === undefined) return true;
    const { entry, estimate: { waitMs, runMs, networkMs } } = choice;
    const request = { ...this.#options, prompt: [], work, nowMs };
    const lateMs = waitMs + networkMs + computeCrowdingMs(entry, request) +
      Math.max(0, runMs - this.model.computeTypicalMs(work.key.service));
    return lateMs > GOOD_ENOUGH_MS;
  }

  /**
   * Lists targets for a request that finds no good one near: a few, but many if
   * it would find none, or only one that has just failed.
   */
  #listOthers(
    service: string,
    choice: PlacementChoice | undefined,
    nowMs: number,
  ): TrackedTarget[] {
    const index = this.#options.targets.findIndex(service);
    if (index === undefined) return [];
    const options = { nowMs, takeRandom: this.#takeRandom };
    return isLastResort(choice, nowMs)
      ? this.candidates.listMany(index, options)
      : this.candidates.chooseOthers(index, options);
  }
}

/**
 * The bounded set of targets that one placement decision considers: the holders
 * of the program's prefix and a random sample, most of it from the node's region.
 */
import {
  checkNever,
  type MembershipView,
  type Partner,
  type PlacementRule,
  type Region,
  type TargetSpec,
} from "@camphorlock/types";
import type { PlacementRequest } from "../owner/ports.ts";
import type { RandomSource } from "../random/mod.ts";
import { chooseReservedTargets } from "./reserved_targets.ts";
import { isWatched } from "./load_reporter.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { BackgroundPolicy, PlacementSettings } from "./settings.ts";
import type { ServingTargets, TargetIndex } from "./target_index.ts";

/** The inputs that candidates are chosen from. */
export interface CandidateDependencies {
  readonly region: Region;
  readonly index: TargetIndex;
  readonly prefixes: PrefixIndex;
  readonly random: RandomSource;
  readonly getSettings: () => PlacementSettings;
  readonly getRules: () => readonly PlacementRule[];
  readonly getView: () => MembershipView;
}

/** Chooses the candidates of each decision. */
export class CandidateChooser {
  readonly #dependencies: CandidateDependencies;
  #rules: readonly PlacementRule[] = [];

  constructor(dependencies: CandidateDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Lists the candidates of one decision. Excluded targets are left out unless
   * every candidate is excluded.
   */
  list(
    request: PlacementRequest,
    serving: ServingTargets,
  ): readonly TargetSpec[] {
    const allowed = this.#filterAllowed(request, serving);
    const { sampleNear, sampleFar, mostHolders } = this.#dependencies
      .getSettings();
    const sampleSize = sampleNear + sampleFar;
    const candidates = allowed.all.length <= sampleSize
      ? [...allowed.all]
      : this.#chooseSample(allowed);
    for (
      const holder of this.#dependencies.prefixes.listHolders(request.programId)
        .slice(0, mostHolders)
    ) {
      if (candidates.some((each) => each.targetId === holder.targetId)) {
        continue;
      }
      const target = this.#dependencies.index.find(holder.targetId);
      if (target !== undefined && this.#isAllowed(target, request)) {
        candidates.push(target);
      }
    }
    const notExcluded = candidates.filter((each) =>
      !request.excluded.includes(each.targetId)
    );
    return notExcluded.length > 0 ? notExcluded : candidates;
  }

  #isAllowed(target: TargetSpec, request: PlacementRequest): boolean {
    const { call, partner } = request;
    const name = call.kind === "model" ? call.model : call.service;
    const isServing = !target.leaving && target.serves.includes(name);
    const rules = this.#dependencies.getRules();
    return isServing && filterByRules([target], rules, partner).length > 0;
  }

  /**
   * Filters out targets in forbidden regions and, for background work, targets
   * reserved for other classes.
   */
  #filterAllowed(
    request: PlacementRequest,
    serving: ServingTargets,
  ): ServingTargets {
    const { partner, programClass, call } = request;
    const rules = this.#dependencies.getRules();
    if (rules !== this.#rules) this.#dependencies.index.resetFiltered();
    this.#rules = rules;
    const name = call.kind === "model" ? call.model : call.service;
    const isBackground = programClass === "background" && call.kind === "model";
    const key = `${call.kind}/${name}/${partner}/${isBackground}`;
    return this.#dependencies.index.getFiltered(serving, key, (targets) => {
      const allowed = filterByRules(targets, rules, partner);
      const usable = isBackground
        ? filterForBackground(
          allowed,
          this.#dependencies.getSettings().background,
        )
        : allowed;
      return this.#filterWatched(usable, serving.near.length);
    });
  }

  /**
   * Removes targets of this region that this node doesn't watch, unless too few
   * would be left for a sample.
   */
  #filterWatched(
    targets: readonly TargetSpec[],
    nearCount: number,
  ): TargetSpec[] {
    const { region, getView } = this.#dependencies;
    const near = targets.filter((each) => each.region === region);
    const { self } = getView();
    const watched = near.filter((each) =>
      isWatched(self, each.targetId, nearCount)
    );
    if (watched.length < this.#dependencies.getSettings().sampleNear) {
      return [...targets];
    }
    const far = targets.filter((each) => each.region !== region);
    return [...watched, ...far];
  }

  #chooseSample(serving: ServingTargets): TargetSpec[] {
    const { sampleNear, sampleFar } = this.#dependencies.getSettings();
    const chosen = new Set<TargetSpec>();
    this.#addSample(chosen, serving.near, sampleNear);
    const missing = sampleNear + sampleFar - chosen.size;
    this.#addSample(chosen, serving.far, Math.max(sampleFar, missing));
    return [...chosen];
  }

  #addSample(
    chosen: Set<TargetSpec>,
    targets: readonly TargetSpec[],
    count: number,
  ): void {
    if (targets.length <= count) {
      targets.forEach((each) => chosen.add(each));
      return;
    }
    for (let drawn = 0; drawn < count; drawn += 1) {
      const target =
        targets[this.#dependencies.random.takeIndex(targets.length)];
      if (target !== undefined) chosen.add(target);
    }
  }
}

function filterByRules(
  targets: readonly TargetSpec[],
  rules: readonly PlacementRule[],
  partner: Partner,
): TargetSpec[] {
  const rule = rules.find((each) => each.partner === partner);
  if (rule === undefined || rule.regions.length === 0) return [...targets];
  return targets.filter((each) => rule.regions.includes(each.region));
}

function filterForBackground(
  targets: readonly TargetSpec[],
  policy: BackgroundPolicy,
): TargetSpec[] {
  switch (policy.kind) {
    case "anywhere":
      return [...targets];
    case "confined": {
      if (targets.length < policy.leastTargets) return [...targets];
      const count = Math.floor(targets.length * policy.freeShare);
      const reserved = chooseReservedTargets(targets, count);
      return targets.filter((each) => !reserved.has(each.targetId));
    }
    default:
      return checkNever(policy);
  }
}

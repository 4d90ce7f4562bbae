/**
 * The placement policies: each scores candidates, and the lowest score wins.
 */
import { checkNever, type TargetSpec } from "@camphorlock/types";
import { computeHash } from "../assignment/rendezvous.ts";
import type { PlacementRequest } from "../owner/ports.ts";
import type { RandomSource } from "../random/mod.ts";
import type { PlacementCandidate, PlacementReason } from "./decision.ts";
import { computeFinish } from "./estimate.ts";
import type { LoadTable } from "./load_table.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { PlacementSettings } from "./settings.ts";
import { isAvoided } from "./slow_targets.ts";

/** What a choice is made from. */
export interface ChoiceContext {
  readonly request: PlacementRequest;
  readonly settings: PlacementSettings;
  readonly loads: LoadTable;
  readonly prefixes: PrefixIndex;
  readonly random: RandomSource;
  /** Counts this node's decisions, for round robin. */
  readonly number: number;
  readonly ownRegion: string;
  readonly completionTokens: number;
  readonly nowMs: number;
}

/** A chosen target and what it was compared with. */
export interface Choice {
  readonly target: TargetSpec;
  readonly reason: PlacementReason;
  readonly candidates: readonly PlacementCandidate[];
}

const BYTES_PER_TOKEN = 4;
/** Share of a record that counts when events about it may be lost. */
const DOUBTED_SHARE = 0.95;

/** Chooses one of the targets by the policy in force. */
export function chooseTarget(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): Choice | undefined {
  const [first] = targets;
  if (first === undefined) return undefined;
  const { policy } = context.settings;
  switch (policy.kind) {
    case "random":
      return chooseAt(targets, context.random.takeIndex(targets.length));
    case "round_robin":
      return chooseAt(targets, context.number % targets.length);
    case "least_loaded":
      return chooseLowest(targets, (each) => computeLoad(each, context));
    case "cache_affinity":
      return chooseAffine(targets, context);
    case "estimated_finish":
      return chooseEarliest(targets, context);
    default:
      return checkNever(policy);
  }
}

function chooseAt(
  targets: readonly TargetSpec[],
  index: number,
): Choice | undefined {
  const target = targets[index];
  if (target === undefined) return undefined;
  return { target, reason: "baseline", candidates: [] };
}

function chooseLowest(
  targets: readonly TargetSpec[],
  score: (target: TargetSpec) => number,
): Choice | undefined {
  const candidates = targets.map((target) => ({
    targetId: target.targetId,
    score: score(target),
    cachedTokens: 0,
  }));
  const best = findLowest(candidates);
  const target = best === undefined ? undefined : targets[best];
  if (target === undefined) return undefined;
  return { target, reason: "baseline", candidates };
}

function computeLoad(target: TargetSpec, context: ChoiceContext): number {
  const known = context.loads.find(target.targetId);
  if (known === undefined) return 0;
  const { running, queued } = known.load;
  return running + queued + known.placedSince;
}

function chooseAffine(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): Choice | undefined {
  const { programId } = context.request;
  const [holder] = context.prefixes.listHolders(programId);
  const index = targets.findIndex((each) => each.targetId === holder?.targetId);
  if (index >= 0) return chooseAt(targets, index);
  return chooseAt(targets, computeHash(programId) % targets.length);
}

function chooseEarliest(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): Choice | undefined {
  const usable = removeAvoided(targets, context);
  const candidates = usable.map((each) => computeScore(each, context));
  const best = findLowest(candidates);
  if (best === undefined) return undefined;
  const target = usable[best];
  const candidate = candidates[best];
  if (target === undefined || candidate === undefined) return undefined;
  return { target, candidates, reason: findReason(candidate, candidates) };
}

function findReason(
  chosen: PlacementCandidate,
  candidates: readonly PlacementCandidate[],
): PlacementReason {
  if (candidates.length === 1) return "only_candidate";
  return chosen.cachedTokens > 0 ? "cached_prefix" : "earliest_finish";
}

/** Leaves out slow targets, but never more than the share that is allowed. */
function removeAvoided(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): readonly TargetSpec[] {
  const { slowTargets } = context.settings;
  if (slowTargets.kind === "ignore") return targets;
  const usable = targets.filter((each) =>
    !isAvoided(context.loads.find(each.targetId), slowTargets)
  );
  const avoided = targets.length - usable.length;
  const isTooMany = avoided > targets.length * slowTargets.mostAvoidedShare;
  return isTooMany ? targets : usable;
}

function computeScore(
  target: TargetSpec,
  context: ChoiceContext,
): PlacementCandidate {
  const { request, settings, nowMs } = context;
  const { targetId } = target;
  const known = context.loads.find(targetId);
  const cachedTokens = findCachedTokens(target, context);
  const estimate = computeFinish({
    partner: request.partner,
    programClass: request.programClass,
    promptTokens: request.promptTokens,
    completionTokens: context.completionTokens,
    bytes: (request.promptTokens + context.completionTokens) * BYTES_PER_TOKEN,
  }, {
    known,
    cachedTokens,
    isFar: target.region !== context.ownRegion,
    isRecent: known !== undefined &&
      nowMs - known.heardAtMs < settings.loadLifeMs,
  }, settings.estimate);
  return { targetId, score: estimate.totalMs, cachedTokens, estimate };
}

/** A record that may be out of date counts a little less. */
function findCachedTokens(target: TargetSpec, context: ChoiceContext): number {
  const { request, prefixes } = context;
  const holder = prefixes.listHolders(request.programId).find((each) =>
    each.targetId === target.targetId
  );
  if (holder === undefined) return 0;
  const tokens = Math.min(holder.tokens, request.promptTokens);
  return prefixes.isDoubted(holder) ? tokens * DOUBTED_SHARE : tokens;
}

function findLowest(
  candidates: readonly PlacementCandidate[],
): number | undefined {
  let best: number | undefined;
  let lowest = Infinity;
  candidates.forEach((each, index) => {
    if (each.score >= lowest) return;
    lowest = each.score;
    best = index;
  });
  return best;
}

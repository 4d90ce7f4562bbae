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

/** The inputs of a choice. */
export interface ChoiceContext {
  readonly request: PlacementRequest;
  readonly settings: PlacementSettings;
  readonly loads: LoadTable;
  readonly prefixes: PrefixIndex;
  readonly random: RandomSource;
  /** Sequence number of this node's decision, for round robin. */
  readonly number: number;
  readonly ownRegion: string;
  readonly completionTokens: number;
  readonly nowMs: number;
}

/** A chosen target and the candidates that it was compared with. */
export interface Choice {
  readonly target: TargetSpec;
  readonly reason: PlacementReason;
  readonly candidates: readonly PlacementCandidate[];
}

const BYTES_PER_TOKEN = 4;
/** Weight of cached tokens whose cache events may have been lost. */
const UNVERIFIED_SHARE = 0.95;

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
      return chooseByIndex(targets, context.random.takeIndex(targets.length));
    case "round_robin":
      return chooseByIndex(targets, context.number % targets.length);
    case "least_loaded":
      return chooseLowest(targets, (each) => computeLoad(each, context));
    case "cache_affinity":
      return chooseCacheAffine(targets, context);
    case "estimated_finish":
      return chooseEarliestFinish(targets, context);
    default:
      return checkNever(policy);
  }
}

function chooseByIndex(
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
  const best = findLowestIndex(candidates);
  const target = best === undefined ? undefined : targets[best];
  if (target === undefined) return undefined;
  return { target, reason: "baseline", candidates };
}

function computeLoad(target: TargetSpec, context: ChoiceContext): number {
  const observed = context.loads.find(target.targetId);
  if (observed === undefined) return 0;
  const { running, queued } = observed.load;
  return running + queued + observed.callsPlacedSince;
}

function chooseCacheAffine(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): Choice | undefined {
  const { programId } = context.request;
  const [holder] = context.prefixes.listHolders(programId);
  const index = targets.findIndex((each) => each.targetId === holder?.targetId);
  if (index >= 0) return chooseByIndex(targets, index);
  return chooseByIndex(targets, computeHash(programId) % targets.length);
}

function chooseEarliestFinish(
  targets: readonly TargetSpec[],
  context: ChoiceContext,
): Choice | undefined {
  const usable = filterAvoided(targets, context);
  const candidates = usable.map((each) => computeScore(each, context));
  const best = findLowestIndex(candidates);
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

/** Filters out slow targets, unless they exceed the share that may be avoided. */
function filterAvoided(
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
  const observed = context.loads.find(targetId);
  const cachedTokens = findCachedTokens(target, context);
  const estimate = computeFinish({
    partner: request.partner,
    programClass: request.programClass,
    promptTokens: request.promptTokens,
    completionTokens: context.completionTokens,
    bytes: (request.promptTokens + context.completionTokens) * BYTES_PER_TOKEN,
  }, {
    known: observed,
    cachedTokens,
    isFar: target.region !== context.ownRegion,
    isRecent: observed !== undefined &&
      nowMs - observed.receivedAtMs < settings.loadLifeMs,
  }, settings.estimate);
  return { targetId, score: estimate.totalMs, cachedTokens, estimate };
}

/** Finds the cached tokens of a target, reduced if the record is unverified. */
function findCachedTokens(target: TargetSpec, context: ChoiceContext): number {
  const { request, prefixes } = context;
  const holder = prefixes.listHolders(request.programId).find((each) =>
    each.targetId === target.targetId
  );
  if (holder === undefined) return 0;
  const tokens = Math.min(holder.tokens, request.promptTokens);
  return prefixes.isUnverified(holder) ? tokens * UNVERIFIED_SHARE : tokens;
}

function findLowestIndex(
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

/**
 * Chooses a target by fixed costs and this gateway's own requests alone.
 *
 * Many gateways place short, steady work and bursts at the same time, each with
 * only its own view of the targets. Conversations and shared parts stay where
 * they were read, since a gateway's own requests are all that it compares; no
 * message between gateways is needed.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { TrackedTarget } from "../decisions/target_table.ts";
import {
  CRASH_CANDIDATE_COST_MS,
  type PlacementRequest,
} from "./choose_target.ts";
import { computeEstimate } from "./compute_estimate.ts";
import type { PlacementChoice } from "./work_estimate.ts";

/** Chooses among targets that accept work; undefined if all are excluded. */
export function placeByFixedCosts(
  targets: readonly TrackedTarget[],
  given: PlacementRequest,
): PlacementChoice | undefined {
  // Without learned costs, an estimate is made of fixed ones.
  const request: PlacementRequest = { ...given, work: undefined };
  const eligible = targets.filter(({ target }) =>
    !request.excluded.has(target.id)
  );
  const healthy = eligible.filter(({ avoidedUntilMs }) =>
    avoidedUntilMs <= request.nowMs
  );
  let best: PlacementChoice | undefined;
  let bestCostMs = Number.POSITIVE_INFINITY;
  let bestRank = 0;
  for (const entry of healthy.length > 0 ? healthy : eligible) {
    const estimate = computeEstimate(entry, request);
    const costMs = estimate.totalMs + computeCrashCostMs(entry, request);
    if (costMs > bestCostMs) continue;
    const rank = computeTieBreak(entry, request);
    if (costMs === bestCostMs && rank < bestRank) continue;
    best = { entry, estimate };
    bestCostMs = costMs;
    bestRank = rank;
  }
  return best;
}

function computeCrashCostMs(
  { running, crashCandidates }: TrackedTarget,
  { isCrashCandidate }: PlacementRequest,
): number {
  const unwanted = isCrashCandidate === true ? running : crashCandidates;
  return unwanted * CRASH_CANDIDATE_COST_MS;
}

/** Gateways break ties in different orders, requests of an object in the same. */
function computeTieBreak(
  { target }: TrackedTarget,
  { vmId, affinityKey }: PlacementRequest,
): number {
  return computeHash(`${affinityKey ?? vmId}|${target.id}`);
}

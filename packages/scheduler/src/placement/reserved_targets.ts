/**
 * The targets that are reserved for calls other than background work. Every node
 * chooses the same ones, distributed evenly over the regions.
 */
import type { Region, TargetId, TargetSpec } from "@camphorlock/types";
import { computeHash } from "../assignment/rendezvous.ts";

interface RankedTarget {
  readonly targetId: TargetId;
  readonly score: number;
  /** Number of targets of the same region with a higher score. */
  readonly rankInRegion: number;
}

/** Chooses `count` targets, as evenly over the regions as possible. */
export function chooseReservedTargets(
  targets: readonly TargetSpec[],
  count: number,
): Set<TargetId> {
  const ranked = sortByScore(targets);
  ranked.sort((left, right) =>
    left.rankInRegion - right.rankInRegion || right.score - left.score
  );
  return new Set(ranked.slice(0, count).map((each) => each.targetId));
}

function sortByScore(targets: readonly TargetSpec[]): RankedTarget[] {
  const scored = targets.map(({ targetId, region }) => ({
    targetId,
    region,
    score: computeHash(`free|${targetId}`),
  }));
  scored.sort((left, right) => right.score - left.score);
  const counts = new Map<Region, number>();
  return scored.map(({ targetId, region, score }) => {
    const rankInRegion = counts.get(region) ?? 0;
    counts.set(region, rankInRegion + 1);
    return { targetId, score, rankInRegion };
  });
}

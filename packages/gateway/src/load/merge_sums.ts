/**
 * Adds up the load of two regions at one target.
 */
import type { PartReport, TargetSum } from "./load_messages.ts";

/** Merges two sums; a part counts as held if either holds it. */
export function mergeSums(left: TargetSum, right: TargetSum): TargetSum {
  return [
    left[0],
    left[1] + right[1],
    left[2] + right[2],
    left[3] + right[3],
    left[4] + right[4],
    left[5] + right[5],
    mergeParts(left[6], right[6]),
  ];
}

function mergeParts(
  left: readonly PartReport[],
  right: readonly PartReport[],
): readonly PartReport[] {
  if (left.length === 0) return right;
  if (right.length === 0) return left;
  const merged = new Map(left.map((part) => [part[0], part]));
  for (const part of right) {
    const [id, tokens, held] = part;
    const known = merged.get(id);
    merged.set(id, [id, tokens, known?.[2] === 1 ? 1 : held]);
  }
  return [...merged.values()];
}

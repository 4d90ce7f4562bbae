/**
 * Finds the known name that a mistyped one was probably meant to be.
 */

/** Changes of single letters beyond which two names aren't alike. */
const MAX_DISTANCE = 3;

/** Finds the nearest known name, if one is near enough. */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let best = MAX_DISTANCE + 1;
  for (const each of known) {
    const distance = computeDistance(name, each);
    if (distance >= best) continue;
    best = distance;
    nearest = each;
  }
  return nearest;
}

/** Computes the Levenshtein distance of two names. */
function computeDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let at = 1; at <= left.length; at++) {
    const next = [at];
    for (let other = 1; other <= right.length; other++) {
      const isSame = left[at - 1] === right[other - 1];
      const replaced = (row[other - 1] ?? 0) + (isSame ? 0 : 1);
      const removed = (row[other] ?? 0) + 1;
      const added = (next[other - 1] ?? 0) + 1;
      next.push(Math.min(replaced, removed, added));
    }
    row = next;
  }
  return row[right.length] ?? 0;
}

/**
 * Suggestions for misspelt names in messages to operators.
 */

/** Largest edit distance of a suggestion, relative to the name's length. */
const MAX_DISTANCE_RATIO = 0.5;

/** Finds the known name with the smallest edit distance, if any is near. */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const maxDistance = Math.max(1, Math.floor(name.length * MAX_DISTANCE_RATIO));
  let best: string | undefined;
  let bestDistance = maxDistance + 1;
  for (const candidate of known) {
    if (Math.abs(candidate.length - name.length) >= bestDistance) continue;
    const distance = computeEditDistance(name, candidate);
    if (distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}

/** Formats `unknown <what> <name>`, and suggests the nearest known name. */
export function formatUnknownName(
  what: string,
  options: { readonly name: string; readonly known: readonly string[] },
): string {
  const nearest = findNearestName(options.name, options.known);
  const hint = nearest === undefined ? "" : `; did you mean ${nearest}?`;
  return `unknown ${what} ${options.name}${hint}`;
}

/** Computes the Levenshtein distance of two texts, ignoring case. */
function computeEditDistance(left: string, right: string): number {
  const a = left.toLowerCase();
  const b = right.toLowerCase();
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let row = 1; row <= a.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= b.length; column += 1) {
      const change = a[row - 1] === b[column - 1] ? 0 : 1;
      const replaced = (previous[column - 1] ?? 0) + change;
      const removed = (previous[column] ?? 0) + 1;
      const added = (current[column - 1] ?? 0) + 1;
      current.push(Math.min(replaced, removed, added));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

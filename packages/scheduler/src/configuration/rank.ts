/**
 * Rendezvous hashing: all nodes compute the same ranking independently.
 */
import type { VmId } from "@camphorlock/types";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Computes a 32-bit hash of a text: FNV-1a with a final mix. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Chooses the `count` nodes that rank highest for a purpose. */
export function chooseRanked(
  vmIds: readonly VmId[],
  options: { readonly purpose: string; readonly count: number },
): readonly VmId[] {
  const ranked = vmIds.map((vmId) => ({
    vmId,
    rank: computeHash(`${options.purpose}/${vmId}`),
  }));
  ranked.sort((a, b) => b.rank - a.rank || (a.vmId < b.vmId ? -1 : 1));
  return ranked.slice(0, options.count).map(({ vmId }) => vmId);
}

/**
 * Rendezvous hashing: every node orders the others alike for a given key.
 */
import type { VmId } from "@camphorlock/types";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Computes a 32-bit hash of a text. */
export function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Computes a number from zero to below one from a text. */
export function computeFraction(text: string): number {
  return computeHash(text) / 2 ** 32;
}

/** Sorts VMs by their score for a key, best first. */
export function sortByScore(key: string, vmIds: readonly VmId[]): VmId[] {
  const scored = vmIds.map((vmId) => ({
    vmId,
    score: computeHash(`${vmId}|${key}`),
  }));
  scored.sort((left, right) =>
    right.score - left.score || (left.vmId < right.vmId ? -1 : 1)
  );
  return scored.map((each) => each.vmId);
}

/** Counts the VMs that come before one of them for a key. */
export function computeRank(
  key: string,
  among: { vmId: VmId; vmIds: readonly VmId[] },
): number {
  return sortByScore(key, among.vmIds).indexOf(among.vmId);
}

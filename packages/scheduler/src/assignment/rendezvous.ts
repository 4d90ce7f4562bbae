/**
 * Rendezvous hashing: every node orders the others alike for a given key.
 */
import type { VmId } from "@camphorlock/types";
import { computeHash } from "../hash.ts";

export { computeHash };

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

/**
 * Rendezvous hashing: all nodes compute the same order of VMs for a key.
 */
import type { VmId } from "@camphorlock/types";
import { computeHash } from "../hash.ts";

export { computeHash };

/** Sorts VMs by their score for a key, highest first. */
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

/** Computes the position of a VM in the order for a key; -1 if not in it. */
export function computeRank(
  key: string,
  options: { vmId: VmId; vmIds: readonly VmId[] },
): number {
  return sortByScore(key, options.vmIds).indexOf(options.vmId);
}

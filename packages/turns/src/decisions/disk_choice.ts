/**
 * Chooses the disks of a chain, and counts how many copies and witnesses the
 * tolerated losses require.
 *
 * Steady load of many short turns from every region: the copy that is read next
 * should be near, so the region's disks come first, and all gateways of a
 * region rank them alike. Further copies go to other failure domains.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { DiskInfo, LossTolerance } from "../model/turn_disk.ts";

/** Sorts disks for a chain: those of the region first, then by hash. */
export function sortDisks(
  disks: readonly DiskInfo[],
  { key, region }: { readonly key: string; readonly region: string },
): DiskInfo[] {
  const ranked = disks.map((disk) => ({
    disk,
    distance: disk.region === region ? 0 : 1,
    hash: computeHash(`${key}|${disk.vmId}`),
  }));
  ranked.sort((a, b) => a.distance - b.distance || a.hash - b.hash);
  return sortByDomain(ranked.map(({ disk }) => disk));
}

/** Whether copies on these disks survive the tolerated losses. */
export function hasEnoughCopies(
  disks: readonly DiskInfo[],
  tolerance: LossTolerance,
): boolean {
  return countDistinct(disks, ({ diskId }) => diskId) > tolerance.disks &&
    countDistinct(disks, getDomain) > tolerance.failureDomains &&
    countDistinct(disks, getRegion) > tolerance.regions;
}

/** Counts the most disks that a tolerated loss may take at once. */
export function countMaxLost(
  disks: readonly DiskInfo[],
  tolerance: LossTolerance,
): number {
  return Math.max(
    tolerance.disks,
    countLargest(disks, {
      getGroup: getDomain,
      groups: tolerance.failureDomains,
    }),
    countLargest(disks, { getGroup: getRegion, groups: tolerance.regions }),
  );
}

/** Moves repeated failure domains behind the first disk of each other one. */
function sortByDomain(disks: readonly DiskInfo[]): DiskInfo[] {
  const seen = new Set<string>();
  const first = disks.filter(({ failureDomain }) => {
    if (seen.has(failureDomain)) return false;
    seen.add(failureDomain);
    return true;
  });
  return [...first, ...disks.filter((disk) => !first.includes(disk))];
}

function countLargest(
  disks: readonly DiskInfo[],
  { getGroup, groups }: {
    readonly getGroup: (disk: DiskInfo) => string;
    readonly groups: number;
  },
): number {
  const sizes = new Map<string, number>();
  for (const disk of disks) {
    sizes.set(getGroup(disk), (sizes.get(getGroup(disk)) ?? 0) + 1);
  }
  const largest = [...sizes.values()].sort((a, b) => b - a).slice(0, groups);
  return largest.reduce((sum, size) => sum + size, 0);
}

function countDistinct(
  disks: readonly DiskInfo[],
  getGroup: (disk: DiskInfo) => string,
): number {
  return new Set(disks.map(getGroup)).size;
}

function getDomain({ failureDomain }: DiskInfo): string {
  return failureDomain;
}

function getRegion({ region }: DiskInfo): string {
  return region;
}

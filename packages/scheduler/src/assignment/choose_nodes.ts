/**
 * Chooses owners by balance, and keepers by failure domain.
 */
import type { NodeView, ShardId, VmId } from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import type { Fleet } from "./fleet.ts";
import { sortByScore } from "./rendezvous.ts";

/** Keepers that a shard has where there are enough nodes. */
export const KEEPER_COUNT = 3;

const OWNER_CHOICES = 3;

/** The number of shards that each node owns. */
export type OwnerLoads = Map<VmId, number>;

/**
 * Chooses an owner: of a few nodes that the shard's hash names, the one with
 * the fewest shards, or any with fewer when these have their share already.
 */
export function chooseOwner(
  shard: ShardId,
  among: { fleet: Fleet; loads: OwnerLoads; shardCount: number },
): VmId | undefined {
  const { fleet, loads, shardCount } = among;
  const share = Math.ceil(shardCount / Math.max(fleet.candidateIds.length, 1));
  const sorted = sortByScore(`owner|${shard}`, fleet.candidateIds);
  const few = sorted.slice(0, OWNER_CHOICES);
  const best = findLeastLoaded(few, loads);
  if (best !== undefined && getLoad(loads, best) < share) return best;
  return findLeastLoaded(sorted, loads);
}

/** Finds the first of the VMs with the fewest shards. */
export function findLeastLoaded(
  vmIds: readonly VmId[],
  loads: OwnerLoads,
): VmId | undefined {
  let best: VmId | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (const vmId of vmIds) {
    const load = getLoad(loads, vmId);
    if (load >= bestLoad) continue;
    best = vmId;
    bestLoad = load;
  }
  return best;
}

/** Gets the number of shards of a node. */
export function getLoad(loads: OwnerLoads, vmId: VmId): number {
  return loads.get(vmId) ?? 0;
}

/**
 * Chooses the keepers of a shard, holding on to those given that are present.
 *
 * Each further keeper is the one that adds most: a failure domain that neither
 * the owner nor another keeper is in, then the owner's region, so that two
 * copies are near, and a third in another region.
 */
export function chooseKeepers(
  shard: ShardId,
  options: { owner: VmId; held: readonly VmId[]; fleet: Fleet },
): VmId[] {
  const { owner, held, fleet } = options;
  const ownerNode = fleet.find(owner);
  const keepers: NodeView[] = [];
  for (const vmId of held) {
    const node = fleet.find(vmId);
    if (node !== undefined && vmId !== owner) keepers.push(node);
  }
  while (keepers.length < KEEPER_COUNT) {
    const next = findBestKeeper(shard, { ownerNode, keepers, fleet });
    if (next === undefined) break;
    keepers.push(next);
  }
  return keepers.map((keeper) => keeper.spec.vmId);
}

/** Counts the failure domains that a list of VMs covers. */
export function countDomains(fleet: Fleet, vmIds: readonly VmId[]): number {
  const domains = new Set(
    vmIds.map((vmId) => fleet.find(vmId)?.spec.failureDomain),
  );
  return domains.size;
}

interface KeeperContext {
  readonly ownerNode: NodeView | undefined;
  readonly keepers: readonly NodeView[];
  readonly fleet: Fleet;
}

function findBestKeeper(
  shard: ShardId,
  context: KeeperContext,
): NodeView | undefined {
  let best: NodeView | undefined;
  let bestScore = -1;
  for (const node of context.fleet.candidates) {
    if (isTaken(node, context)) continue;
    const merit = computeMerit(node, context);
    const tie = computeHash(`${node.spec.vmId}|keeper|${shard}`) / 2 ** 32;
    if (merit + tie <= bestScore) continue;
    best = node;
    bestScore = merit + tie;
  }
  return best;
}

function isTaken(node: NodeView, context: KeeperContext): boolean {
  const { vmId } = node.spec;
  if (vmId === context.ownerNode?.spec.vmId) return true;
  return context.keepers.some((keeper) => keeper.spec.vmId === vmId);
}

function computeMerit(node: NodeView, context: KeeperContext): number {
  const { failureDomain, region } = node.spec;
  const { ownerNode, keepers } = context;
  const isNewToKeepers = keepers.every((keeper) =>
    keeper.spec.failureDomain !== failureDomain
  );
  const isNewToOwner = ownerNode?.spec.failureDomain !== failureDomain;
  const wantsFar = keepers.length === KEEPER_COUNT - 1;
  const isNear = ownerNode?.spec.region === region;
  return (isNewToKeepers ? 8 : 0) + (isNewToOwner ? 4 : 0) +
    (isNear !== wantsFar ? 2 : 0);
}

/**
 * Chooses owners to balance load, and replicas to spread over failure domains.
 */
import type { NodeView, ShardId, VmId } from "@camphorlock/types";
import { computeHash } from "../hash.ts";
import type { Fleet } from "./fleet.ts";
import { sortByScore } from "./rendezvous.ts";

/** Replicas that a shard has if there are enough nodes. */
export const REPLICA_COUNT = 3;

const OWNER_CANDIDATES = 3;

/** The number of shards that each node owns. */
export type OwnerLoads = Map<VmId, number>;

/**
 * Chooses an owner: the node with the fewest shards among the first few in the
 * shard's hash order, or among all nodes if those have reached the fair share.
 */
export function chooseOwner(
  shard: ShardId,
  options: { fleet: Fleet; loads: OwnerLoads; shardCount: number },
): VmId | undefined {
  const { fleet, loads, shardCount } = options;
  const share = Math.ceil(shardCount / Math.max(fleet.candidateIds.length, 1));
  const sorted = sortByScore(`owner|${shard}`, fleet.candidateIds);
  const preferred = sorted.slice(0, OWNER_CANDIDATES);
  const best = findLeastLoaded(preferred, loads);
  if (best !== undefined && getLoad(loads, best) < share) return best;
  return findLeastLoaded(sorted, loads);
}

/** Finds the VM with the fewest shards; the first of several. */
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
 * Chooses the replicas of a shard, retaining those of `held` in the view.
 *
 * Each further replica is the node with the highest score: a failure domain
 * without a replica counts most, then one other than the owner's. The first
 * two prefer the owner's region, so that two copies are near, and the third
 * prefers another region.
 */
export function chooseReplicas(
  shard: ShardId,
  options: { owner: VmId; held: readonly VmId[]; fleet: Fleet },
): VmId[] {
  const { owner, held, fleet } = options;
  const ownerNode = fleet.find(owner);
  const replicas: NodeView[] = [];
  for (const vmId of held) {
    const node = fleet.find(vmId);
    if (node !== undefined && vmId !== owner) replicas.push(node);
  }
  while (replicas.length < REPLICA_COUNT) {
    const next = findBestReplica(shard, {
      ownerNode,
      keepers: replicas,
      fleet,
    });
    if (next === undefined) break;
    replicas.push(next);
  }
  return replicas.map((replica) => replica.spec.vmId);
}

/** Counts the failure domains that a list of VMs covers. */
export function countDomains(fleet: Fleet, vmIds: readonly VmId[]): number {
  const domains = new Set(
    vmIds.map((vmId) => fleet.find(vmId)?.spec.failureDomain),
  );
  return domains.size;
}

interface ReplicaContext {
  readonly ownerNode: NodeView | undefined;
  readonly keepers: readonly NodeView[];
  readonly fleet: Fleet;
}

function findBestReplica(
  shard: ShardId,
  context: ReplicaContext,
): NodeView | undefined {
  let best: NodeView | undefined;
  let bestScore = -1;
  for (const node of context.fleet.candidates) {
    if (isChosen(node, context)) continue;
    const score = computeReplicaScore(node, context);
    const tieBreaker = computeHash(`${node.spec.vmId}|keeper|${shard}`) /
      2 ** 32;
    if (score + tieBreaker <= bestScore) continue;
    best = node;
    bestScore = score + tieBreaker;
  }
  return best;
}

function isChosen(node: NodeView, context: ReplicaContext): boolean {
  const { vmId } = node.spec;
  if (vmId === context.ownerNode?.spec.vmId) return true;
  return context.keepers.some((replica) => replica.spec.vmId === vmId);
}

function computeReplicaScore(node: NodeView, context: ReplicaContext): number {
  const { failureDomain, region } = node.spec;
  const { ownerNode, keepers: replicas } = context;
  const isNewToReplicas = replicas.every((replica) =>
    replica.spec.failureDomain !== failureDomain
  );
  const isNewToOwner = ownerNode?.spec.failureDomain !== failureDomain;
  const wantsOtherRegion = replicas.length === REPLICA_COUNT - 1;
  const isInOwnerRegion = ownerNode?.spec.region === region;
  return (isNewToReplicas ? 8 : 0) + (isNewToOwner ? 4 : 0) +
    (isInOwnerRegion !== wantsOtherRegion ? 2 : 0);
}

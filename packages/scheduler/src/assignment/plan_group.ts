/**
 * Plans the changes that one node proposes for a group of shards.
 *
 * Each change of owner or replicas increments the epoch and keeps the former
 * assignment as a predecessor until the owner has confirmed its recovery.
 */
import type {
  Epoch,
  NodeSpec,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import {
  chooseOwner,
  chooseReplicas,
  countDomains,
  type OwnerLoads,
  REPLICA_COUNT,
} from "./choose_nodes.ts";
import type { Fleet } from "./fleet.ts";
import type { StoredShard } from "./messages.ts";

/** Why a shard's assignment changes. */
export type ChangeReason =
  | "initial"
  | "takeover"
  | "handover"
  | "keepers"
  | "recovered";

/** The inputs of a plan for one group. */
export interface PlanContext {
  readonly self: NodeSpec;
  readonly fleet: Fleet;
  readonly shardCount: number;
  /** The shards of the group. */
  readonly shardIds: readonly ShardId[];
  readonly stored: ReadonlyMap<ShardId, StoredShard>;
  readonly loads: OwnerLoads;
  /** Whether an owner has ended or been unknown for the grace period. */
  readonly isOwnerEnded: (assignment: ShardAssignment) => boolean;
  /** Whether a replica is leaving or absent for long enough to be replaced. */
  readonly isReplicaUnavailable: (vmId: VmId) => boolean;
  /** Whether this node may now place shards without an owner. */
  readonly takesOver: boolean;
  /** Whether this node may now replace replicas of its own shards. */
  readonly updatesReplicas: boolean;
  /** The offering owner of each offered shard. */
  readonly offers: ReadonlyMap<ShardId, VmId>;
  /** The epoch of each shard that this node has recovered. */
  readonly recovered: ReadonlyMap<ShardId, Epoch>;
}

/** One change in a plan. */
export interface PlannedChange {
  readonly reason: ChangeReason;
  readonly stored: StoredShard;
}

/** Number of predecessors at which owner and replicas no longer change. */
export const PREDECESSOR_LIMIT = 32;

/** Builds every change that this node proposes for the group. */
export function buildPlan(context: PlanContext): PlannedChange[] {
  const changes: PlannedChange[] = [];
  for (const shard of context.shardIds) {
    const change = planShard(shard, context);
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

/** Whether a shard needs a new owner and may get one. */
export function needsOwner(
  stored: StoredShard | undefined,
  isOwnerEnded: PlanContext["isOwnerEnded"],
): boolean {
  if (stored === undefined) return true;
  if (stored.predecessors.length >= PREDECESSOR_LIMIT) return false;
  return isOwnerEnded(stored.assignment);
}

/**
 * Chooses the replicas of a shard. Available replicas stay, unless another set
 * covers more failure domains.
 */
export function planReplicas(
  assignment: ShardAssignment,
  context: Pick<PlanContext, "fleet" | "isReplicaUnavailable">,
): VmId[] {
  const { fleet, isReplicaUnavailable } = context;
  const { shard, owner, keepers } = assignment;
  const held = keepers.filter((replica) => !isReplicaUnavailable(replica));
  const replicas = chooseReplicas(shard, { owner, held, fleet });
  for (const removed of replicas) {
    if (replicas.length < REPLICA_COUNT) break;
    const retained = replicas.filter((replica) => replica !== removed);
    const other = chooseReplicas(shard, { owner, held: retained, fleet });
    if (isSpreadWider(other, { replicas, owner, fleet })) return other;
  }
  return replicas;
}

function isSpreadWider(
  other: readonly VmId[],
  options: { replicas: readonly VmId[]; owner: VmId; fleet: Fleet },
): boolean {
  const { replicas, owner, fleet } = options;
  const domainsGained = countDomains(fleet, other) -
    countDomains(fleet, replicas);
  if (domainsGained !== 0) return domainsGained > 0;
  return countDomains(fleet, [owner, ...other]) >
    countDomains(fleet, [owner, ...replicas]);
}

function planShard(
  shard: ShardId,
  context: PlanContext,
): PlannedChange | undefined {
  const stored = context.stored.get(shard);
  if (needsOwner(stored, context.isOwnerEnded)) {
    return context.takesOver ? planTakeover(shard, context) : undefined;
  }
  if (stored === undefined) return undefined;
  const offeredBy = context.offers.get(shard);
  if (offeredBy !== undefined && offeredBy === stored.assignment.owner) {
    return planHandover(stored, context);
  }
  const { owner, ownerIncarnation } = stored.assignment;
  const { vmId, incarnation } = context.self;
  if (owner !== vmId || ownerIncarnation !== incarnation) return undefined;
  return planOwnShard(stored, context);
}

function planTakeover(
  shard: ShardId,
  context: PlanContext,
): PlannedChange | undefined {
  const { fleet, loads, shardCount } = context;
  const owner = chooseOwner(shard, { fleet, loads, shardCount });
  const spec = owner === undefined ? undefined : fleet.find(owner)?.spec;
  if (spec === undefined) return undefined;
  loads.set(spec.vmId, (loads.get(spec.vmId) ?? 0) + 1);
  const stored = context.stored.get(shard);
  const reason = stored === undefined ? "initial" : "takeover";
  return { reason, stored: buildSuccessor(shard, { stored, spec, context }) };
}

function planHandover(
  stored: StoredShard,
  context: PlanContext,
): PlannedChange | undefined {
  const { shard } = stored.assignment;
  if (stored.predecessors.length >= PREDECESSOR_LIMIT) return undefined;
  const successor = buildSuccessor(shard, {
    stored,
    spec: context.self,
    context,
  });
  return { reason: "handover", stored: successor };
}

function planOwnShard(
  stored: StoredShard,
  context: PlanContext,
): PlannedChange | undefined {
  const { assignment, predecessors } = stored;
  if (context.updatesReplicas && predecessors.length < PREDECESSOR_LIMIT) {
    const replicas = planReplicas(assignment, context);
    if (!isSameSet(replicas, assignment.keepers)) {
      const changed = {
        ...assignment,
        epoch: assignment.epoch + 1,
        keepers: replicas,
      };
      const kept = [assignment, ...predecessors];
      return {
        reason: "keepers",
        stored: { assignment: changed, predecessors: kept },
      };
    }
  }
  const recovered = context.recovered.get(assignment.shard);
  if (recovered !== assignment.epoch || predecessors.length === 0) {
    return undefined;
  }
  return { reason: "recovered", stored: { assignment, predecessors: [] } };
}

function buildSuccessor(
  shard: ShardId,
  from: {
    stored: StoredShard | undefined;
    spec: NodeSpec;
    context: PlanContext;
  },
): StoredShard {
  const { stored, spec, context } = from;
  const { vmId: owner, incarnation: ownerIncarnation } = spec;
  const previous = stored?.assignment;
  const epoch = (previous?.epoch ?? 0) + 1;
  const held = previous?.keepers ?? [];
  const draft = { shard, epoch, owner, ownerIncarnation, keepers: held };
  const replicas = planReplicas(draft, {
    fleet: context.fleet,
    isReplicaUnavailable: (vmId) =>
      vmId === owner || context.isReplicaUnavailable(vmId),
  });
  const predecessors = previous === undefined
    ? []
    : [previous, ...(stored?.predecessors ?? [])];
  return { assignment: { ...draft, keepers: replicas }, predecessors };
}

function isSameSet(left: readonly VmId[], right: readonly VmId[]): boolean {
  return left.length === right.length &&
    left.every((vmId) => right.includes(vmId));
}

/**
 * Works out the changes that one node proposes for a group of shards.
 *
 * Each change of owner or keepers raises the epoch by one and keeps the former
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
  chooseKeepers,
  chooseOwner,
  countDomains,
  KEEPER_COUNT,
  type OwnerLoads,
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

/** What a plan for one group is made from. */
export interface PlanContext {
  readonly self: NodeSpec;
  readonly fleet: Fleet;
  readonly shardCount: number;
  /** The shards of the group. */
  readonly shardIds: readonly ShardId[];
  readonly stored: ReadonlyMap<ShardId, StoredShard>;
  readonly loads: OwnerLoads;
  /** Whether an owner is gone, by the view and the grace for unknown ones. */
  readonly isOwnerGone: (assignment: ShardAssignment) => boolean;
  /** Whether a keeper has been gone for long enough to be replaced. */
  readonly isKeeperGone: (vmId: VmId) => boolean;
  /** Whether this node's turn to place shards without an owner has come. */
  readonly takesOver: boolean;
  /** Whether this node replaces the keepers of its own shards now. */
  readonly replacesKeepers: boolean;
  /** Shards that their owners offer, by owner. */
  readonly offers: ReadonlyMap<ShardId, VmId>;
  /** Epochs that this node has recovered. */
  readonly recovered: ReadonlyMap<ShardId, Epoch>;
}

/** One change in a plan. */
export interface PlannedChange {
  readonly reason: ChangeReason;
  readonly stored: StoredShard;
}

/** Predecessors beyond which a shard's owner isn't changed any more. */
export const PREDECESSOR_LIMIT = 32;

/** Works out every change that this node proposes for the group. */
export function buildPlan(context: PlanContext): PlannedChange[] {
  const changes: PlannedChange[] = [];
  for (const shard of context.shardIds) {
    const change = planShard(shard, context);
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

/** Whether a shard has no owner that could serve it. */
export function needsOwner(
  stored: StoredShard | undefined,
  isOwnerGone: PlanContext["isOwnerGone"],
): boolean {
  if (stored === undefined) return true;
  if (stored.predecessors.length >= PREDECESSOR_LIMIT) return false;
  return isOwnerGone(stored.assignment);
}

/**
 * Chooses the keepers that a shard should have: the present ones stay unless
 * another set covers more failure domains.
 */
export function planKeepers(
  assignment: ShardAssignment,
  context: Pick<PlanContext, "fleet" | "isKeeperGone">,
): VmId[] {
  const { fleet, isKeeperGone } = context;
  const { shard, owner, keepers } = assignment;
  const held = keepers.filter((keeper) => !isKeeperGone(keeper));
  const filled = chooseKeepers(shard, { owner, held, fleet });
  for (const dropped of filled) {
    if (filled.length < KEEPER_COUNT) break;
    const rest = filled.filter((keeper) => keeper !== dropped);
    const other = chooseKeepers(shard, { owner, held: rest, fleet });
    if (isWiderSpread(other, { filled, owner, fleet })) return other;
  }
  return filled;
}

function isWiderSpread(
  other: readonly VmId[],
  than: { filled: readonly VmId[]; owner: VmId; fleet: Fleet },
): boolean {
  const { filled, owner, fleet } = than;
  const distinct = countDomains(fleet, other) - countDomains(fleet, filled);
  if (distinct !== 0) return distinct > 0;
  return countDomains(fleet, [owner, ...other]) >
    countDomains(fleet, [owner, ...filled]);
}

function planShard(
  shard: ShardId,
  context: PlanContext,
): PlannedChange | undefined {
  const stored = context.stored.get(shard);
  if (needsOwner(stored, context.isOwnerGone)) {
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
  return planOwn(stored, context);
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

function planOwn(
  stored: StoredShard,
  context: PlanContext,
): PlannedChange | undefined {
  const { assignment, predecessors } = stored;
  if (context.replacesKeepers && predecessors.length < PREDECESSOR_LIMIT) {
    const keepers = planKeepers(assignment, context);
    if (!isSameSet(keepers, assignment.keepers)) {
      const changed = { ...assignment, epoch: assignment.epoch + 1, keepers };
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
  const former = stored?.assignment;
  const epoch = (former?.epoch ?? 0) + 1;
  const held = former?.keepers ?? [];
  const draft = { shard, epoch, owner, ownerIncarnation, keepers: held };
  const keepers = planKeepers(draft, {
    fleet: context.fleet,
    isKeeperGone: (vmId) => vmId === owner || context.isKeeperGone(vmId),
  });
  const predecessors = former === undefined
    ? []
    : [former, ...(stored?.predecessors ?? [])];
  return { assignment: { ...draft, keepers }, predecessors };
}

function isSameSet(left: readonly VmId[], right: readonly VmId[]): boolean {
  return left.length === right.length &&
    left.every((vmId) => right.includes(vmId));
}

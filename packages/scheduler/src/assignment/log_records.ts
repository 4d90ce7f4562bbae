/**
 * The log events of shard assignment.
 */
import { EVENTS } from "@camphorlock/codes";
import type {
  Epoch,
  LogRecord,
  ShardAssignment,
  ShardId,
} from "@camphorlock/types";
import type { PlannedChange } from "./plan_group.ts";

/** Builds the log event of a proposal, with the reason of each change. */
export function buildProposedRecord(
  group: number,
  changes: readonly PlannedChange[],
): LogRecord {
  const { event } = EVENTS.AssignmentProposed;
  const listed = changes.map(({ reason, stored }) => ({
    reason,
    shard: stored.assignment.shard,
    epoch: stored.assignment.epoch,
    owner: stored.assignment.owner,
    keepers: stored.assignment.keepers,
  }));
  return { event, fields: { group, changes: listed } };
}

/** Builds the log event of a shard that this process owns from now on. */
export function buildGainedRecord(assignment: ShardAssignment): LogRecord {
  const { shard, epoch, keepers } = assignment;
  return { event: EVENTS.ShardGained.event, fields: { shard, epoch, keepers } };
}

/** Builds the log event of a shard that this process owned until now. */
export function buildLostRecord(shard: ShardId, epoch: Epoch): LogRecord {
  return { event: EVENTS.ShardLost.event, fields: { shard, epoch } };
}

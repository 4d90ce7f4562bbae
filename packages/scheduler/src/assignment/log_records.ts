/**
 * The log events of shard assignment.
 */
import { EVENTS } from "@camphorlock/codes";
import { checkNever, type LogRecord } from "@camphorlock/types";
import type { AssignmentNotice } from "./messages.ts";
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

/** Builds the log event of a notice; `undefined` for a kind without one. */
export function buildNoticeRecord(
  notice: AssignmentNotice,
): LogRecord | undefined {
  switch (notice.kind) {
    case "gained":
    case "keepers_changed": {
      const { shard, epoch, keepers } = notice.assignment;
      const { event } = EVENTS.ShardGained;
      return { event, fields: { shard, epoch, keepers, how: notice.kind } };
    }
    case "lost": {
      const { shard, epoch } = notice;
      return { event: EVENTS.ShardLost.event, fields: { shard, epoch } };
    }
    case "changed":
    case "handed_over":
      return undefined;
    default:
      return checkNever(notice);
  }
}

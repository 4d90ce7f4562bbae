/**
 * Log records of a shard's recovery.
 */
import { EVENTS } from "@camphorlock/codes";
import {
  checkNever,
  type Epoch,
  type LogFields,
  type LogRecord,
  type ShardId,
} from "@camphorlock/types";
import type { RecoveredShard, RecoveryNotice } from "./recovery_types.ts";

/** The shard and epoch that a record is about. */
export interface RecoverySubject {
  readonly shard: ShardId;
  readonly epoch: Epoch;
}

/** Creates the log record of a notice. */
export function createRecoveryRecord(
  notice: RecoveryNotice,
  subject: RecoverySubject,
): LogRecord {
  const { shard, epoch } = subject;
  switch (notice.kind) {
    case "recovered":
      return {
        event: EVENTS.ShardRecovered.event,
        fields: { shard, epoch, ...buildShardFields(notice.shard) },
      };
    case "superseded":
      return {
        event: EVENTS.RecoverySuperseded.event,
        fields: { shard, epoch, by: notice.epoch },
      };
    case "waiting":
      return {
        event: EVENTS.RecoveryWaiting.event,
        fields: { shard, epoch, missing: notice.missing },
      };
    case "exposed":
      return {
        event: EVENTS.ShardExposed.event,
        fields: { shard, epoch, missing: notice.missing },
      };
    case "damaged":
      return {
        event: EVENTS.LogDamaged.event,
        fields: { shard, epoch, detail: notice.failure.detail },
      };
    default:
      return checkNever(notice);
  }
}

function buildShardFields(recovered: RecoveredShard): LogFields {
  return {
    entries: recovered.entries.length,
    nextSequence: recovered.start.firstSequence,
    segments: recovered.start.extents.length,
    isExposed: recovered.isExposed,
  };
}

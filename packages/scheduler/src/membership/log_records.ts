/**
 * The log events of membership.
 */
import { EVENTS } from "@camphorlock/codes";
import type { LogRecord } from "@camphorlock/types";
import type { NodeChange } from "./node_table.ts";

/** Builds the log record of a node's state change. */
export function buildNodeRecord(change: NodeChange): LogRecord {
  const { vmId, incarnation, from, to } = change;
  const { event } = EVENTS.NodeStateChanged;
  return { event, fields: { vmId, incarnation, from, to } };
}

/**
 * The log events of membership.
 */
import { EVENTS } from "@camphorlock/codes";
import type { LogRecord } from "@camphorlock/types";
import type { NodeChange } from "./node_table.ts";

/** Builds the log event of a node's change of state. */
export function buildNodeRecord(change: NodeChange): LogRecord {
  const { vmId, incarnation, from, to } = change;
  const { event } = EVENTS.NodeStateChanged;
  return { event, fields: { vmId, incarnation, from, to } };
}

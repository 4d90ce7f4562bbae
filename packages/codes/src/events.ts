/**
 * The catalogue of log events.
 *
 * Hundreds tell the area: 1 node, 2 membership and assignment, 3 ledger,
 * 4 calls, 5 dispatch and placement, 6 configuration and operators,
 * 7 platform, 8 targets. docs/EVENTS.md repeats this table; a test checks
 * that both agree.
 */

/** The level a log event is written at. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** What a log event means. */
export interface EventData {
  readonly event: number;
  readonly name: string;
  readonly level: EventLevel;
  readonly meaning: string;
}

/** Every log event, by name. */
export const EVENTS = {
  NodeStarted: defineEvent(
    101,
    "NodeStarted",
    "info",
    "The node serves callers and peers.",
  ),
  NodeStopping: defineEvent(
    102,
    "NodeStopping",
    "info",
    "A planned stop began.",
  ),
  NodeStopped: defineEvent(
    103,
    "NodeStopped",
    "info",
    "Every connection has ended.",
  ),
  PeerConnected: defineEvent(
    111,
    "PeerConnected",
    "info",
    "A stream to another node is open.",
  ),
  PeerDisconnected: defineEvent(
    112,
    "PeerDisconnected",
    "info",
    "A stream to another node ended, with the reason.",
  ),
  PeerRefused: defineEvent(
    113,
    "PeerRefused",
    "warn",
    "A stream, frame or message of another node was refused.",
  ),
  PeerMessagesDropped: defineEvent(
    114,
    "PeerMessagesDropped",
    "warn",
    "Messages to another node were dropped.",
  ),
  NodeStateChanged: defineEvent(
    201,
    "NodeStateChanged",
    "info",
    "The view of another node's state changed.",
  ),
  AssignmentProposed: defineEvent(
    211,
    "AssignmentProposed",
    "info",
    "A change of shard owners or keepers was proposed, with its reason.",
  ),
  ShardGained: defineEvent(
    212,
    "ShardGained",
    "info",
    "This node owns a shard under a new epoch.",
  ),
  ShardLost: defineEvent(
    213,
    "ShardLost",
    "info",
    "Another epoch superseded this node's ownership of a shard.",
  ),
  LedgerSuperseded: defineEvent(
    301,
    "LedgerSuperseded",
    "warn",
    "Another owner took the shard; its ledger ended.",
  ),
  ShardRecovered: defineEvent(
    302,
    "ShardRecovered",
    "info",
    "A shard's log was read, sealed and opened again.",
  ),
  RecoveryWaiting: defineEvent(
    303,
    "RecoveryWaiting",
    "warn",
    "A recovery waits for keepers that don't answer.",
  ),
  ShardExposed: defineEvent(
    304,
    "ShardExposed",
    "error",
    "Durable entries may be lost with their keepers.",
  ),
  LogDamaged: defineEvent(
    305,
    "LogDamaged",
    "error",
    "A shard's log can't be read; it isn't served.",
  ),
  RecoverySuperseded: defineEvent(
    306,
    "RecoverySuperseded",
    "info",
    "Another node recovers the shard instead.",
  ),
  CallAccepted: defineEvent(
    401,
    "CallAccepted",
    "info",
    "A call was accepted under a program.",
  ),
  AttemptStarted: defineEvent(
    402,
    "AttemptStarted",
    "info",
    "An attempt was sent to a target.",
  ),
  AttemptEnded: defineEvent(
    403,
    "AttemptEnded",
    "info",
    "An attempt ended, with its result.",
  ),
  CallEnded: defineEvent(
    404,
    "CallEnded",
    "info",
    "A call ended with an outcome.",
  ),
  CallRetried: defineEvent(
    405,
    "CallRetried",
    "info",
    "A call is placed again after an attempt.",
  ),
  TargetChosen: defineEvent(
    501,
    "TargetChosen",
    "info",
    "A placement decision, with candidates and reason.",
  ),
  SlotGranted: defineEvent(
    502,
    "SlotGranted",
    "info",
    "A dispatcher granted a slot.",
  ),
  SlotRefused: defineEvent(
    503,
    "SlotRefused",
    "info",
    "A dispatcher refused a slot.",
  ),
  ConfigurationInForce: defineEvent(
    601,
    "ConfigurationInForce",
    "info",
    "A configuration revision came into force on this node.",
  ),
  ChangeAccepted: defineEvent(
    602,
    "ChangeAccepted",
    "info",
    "A change of the configuration was stored.",
  ),
  ChangeRefused: defineEvent(
    603,
    "ChangeRefused",
    "info",
    "A change of the configuration was refused.",
  ),
  ConfigurationStale: defineEvent(
    604,
    "ConfigurationStale",
    "warn",
    "The node can't tell whether its configuration is the latest.",
  ),
} as const;

/** The name of a log event. */
export type EventName = keyof typeof EVENTS;

function defineEvent(
  event: number,
  name: string,
  level: EventLevel,
  meaning: string,
): EventData {
  return { event, name, level, meaning };
}

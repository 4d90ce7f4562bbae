/**
 * The catalogue of log events.
 *
 * Hundreds tell the area: 1 node, 2 membership and assignment, 3 ledger,
 * 4 calls, 5 dispatch and placement, 6 configuration and operators,
 * 7 platform, 8 targets, 9 gateway. docs/EVENTS.md repeats this table; a test checks
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
  GatewayStarted: defineEvent(
    901,
    "GatewayStarted",
    "info",
    "The gateway listens; the settings that it started with.",
  ),
  GatewayReady: defineEvent(
    902,
    "GatewayReady",
    "info",
    "The gateway knows a configuration and targets and takes callers.",
  ),
  GatewayStopping: defineEvent(
    903,
    "GatewayStopping",
    "info",
    "A planned stop began; open requests run on.",
  ),
  GatewayStopped: defineEvent(
    904,
    "GatewayStopped",
    "info",
    "The gateway ended; requests that it had to cut off.",
  ),
  SettingsReloaded: defineEvent(
    905,
    "SettingsReloaded",
    "info",
    "The settings file was read again.",
  ),
  SettingsRefused: defineEvent(
    906,
    "SettingsRefused",
    "warn",
    "The settings file can't be used; what held before stays in force.",
  ),
  StoreLost: defineEvent(
    911,
    "StoreLost",
    "warn",
    "Calls to the platform's store fail; the last known state stays in use.",
  ),
  StoreRegained: defineEvent(
    912,
    "StoreRegained",
    "info",
    "Calls to the platform's store succeed again.",
  ),
  StoreHistoryGone: defineEvent(
    913,
    "StoreHistoryGone",
    "info",
    "Changes were no longer kept; the whole list is read again.",
  ),
  ConfigurationUnusable: defineEvent(
    915,
    "ConfigurationUnusable",
    "warn",
    "A stored configuration can't be used; the one before stays in force.",
  ),
  TargetChanged: defineEvent(
    916,
    "TargetChanged",
    "info",
    "A target was added, changed its state or was removed.",
  ),
  TargetUnreadable: defineEvent(
    917,
    "TargetUnreadable",
    "warn",
    "A target's entry can't be read; it names no target to use.",
  ),
  TargetSuspected: defineEvent(
    918,
    "TargetSuspected",
    "info",
    "A target failed requests and is avoided for a while.",
  ),
  RequestAnswered: defineEvent(
    921,
    "RequestAnswered",
    "info",
    "A target's whole answer was passed on.",
  ),
  RequestRefused: defineEvent(
    922,
    "RequestRefused",
    "info",
    "A request was turned away; no target ran it or will run it.",
  ),
  RequestFailed: defineEvent(
    923,
    "RequestFailed",
    "warn",
    "A request ended without a whole answer; a target may have run it.",
  ),
  RequestAbandoned: defineEvent(
    924,
    "RequestAbandoned",
    "info",
    "The caller left before the answer was whole.",
  ),
  SendFailed: defineEvent(
    925,
    "SendFailed",
    "info",
    "A request sent to a target wasn't answered whole; what follows.",
  ),
  AccountRecorded: defineEvent(
    931,
    "AccountRecorded",
    "info",
    "The store keeps a program's allowance of tokens.",
  ),
  AccountUnavailable: defineEvent(
    932,
    "AccountUnavailable",
    "warn",
    "A program's allowance of tokens can't be told at present.",
  ),
  TurnOverBudget: defineEvent(
    933,
    "TurnOverBudget",
    "info",
    "A home of the program's account found that its budget holds no such turn.",
  ),
  AccountRecordFound: defineEvent(
    934,
    "AccountRecordFound",
    "info",
    "The store already held an allowance of a program when one was recorded.",
  ),
  TurnAdmitted: defineEvent(
    935,
    "TurnAdmitted",
    "info",
    "A home granted a turn tokens; its account afterwards.",
  ),
  AccountMet: defineEvent(
    936,
    "AccountMet",
    "info",
    "A home met a program; whether it got the first allowance.",
  ),
  AccountsReceived: defineEvent(
    937,
    "AccountsReceived",
    "info",
    "Another gateway handed over accounts.",
  ),
  FirstAllowanceDecided: defineEvent(
    938,
    "FirstAllowanceDecided",
    "info",
    "The holder of a program's shard gave its first allowance, or why not.",
  ),
  LogLinesDropped: defineEvent(
    941,
    "LogLinesDropped",
    "warn",
    "Log lines were dropped because the output is slower than the events.",
  ),
  RetirementUpdated: defineEvent(
    942,
    "RetirementUpdated",
    "info",
    "A VM that is to be emptied was reported as empty.",
  ),
  OverloadChanged: defineEvent(
    943,
    "OverloadChanged",
    "warn",
    "The process gets too little processor time for its work, or has caught up.",
  ),
  PeerChanged: defineEvent(
    951,
    "PeerChanged",
    "info",
    "Another gateway was heard of, came back, restarted or is leaving.",
  ),
  PeerSuspected: defineEvent(
    952,
    "PeerSuspected",
    "warn",
    "Another gateway doesn't answer; it's passed over until it's heard of.",
  ),
  PeerMessageUnreadable: defineEvent(
    953,
    "PeerMessageUnreadable",
    "warn",
    "A message between gateways can't be read and was dropped.",
  ),
  ShardsChanged: defineEvent(
    955,
    "ShardsChanged",
    "info",
    "A newer table of shards is known; how many this gateway holds.",
  ),
  ShardsReleased: defineEvent(
    956,
    "ShardsReleased",
    "info",
    "A planned stop gave this gateway's shards to another one, or couldn't.",
  ),
  ShardsUnreadable: defineEvent(
    957,
    "ShardsUnreadable",
    "warn",
    "The stored table of shards can't be read; no first allowance is given.",
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

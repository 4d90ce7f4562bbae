/**
 * The catalogue of log events.
 *
 * The hundreds digit is the area: 1 node, 2 membership and assignment, 3
 * ledger, 4 calls, 5 dispatch and placement, 6 configuration and operators, 7
 * platform, 8 targets, 9 gateway and disks. docs/EVENTS.md is rendered from this table; a
 * test checks that both agree.
 */

/** The level of a log event. */
export type EventLevel = "debug" | "info" | "warn" | "error";

/** The definition of a log event. */
export interface EventDefinition {
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
    "The node accepts callers and peers.",
  ),
  NodeStopping: defineEvent(
    102,
    "NodeStopping",
    "info",
    "A graceful shutdown began.",
  ),
  NodeStopped: defineEvent(
    103,
    "NodeStopped",
    "info",
    "The node stopped; all connections are closed.",
  ),
  PeerConnected: defineEvent(
    111,
    "PeerConnected",
    "info",
    "A stream to another node was opened.",
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
    "A stream, frame or message from another node was refused.",
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
    "The observed state of another node changed.",
  ),
  AssignmentProposed: defineEvent(
    211,
    "AssignmentProposed",
    "info",
    "A change of shard owners or replicas was proposed, with the reason.",
  ),
  ShardGained: defineEvent(
    212,
    "ShardGained",
    "info",
    "This node acquired a shard under a new epoch.",
  ),
  ShardLost: defineEvent(
    213,
    "ShardLost",
    "info",
    "A higher epoch superseded this node's ownership of a shard.",
  ),
  LedgerSuperseded: defineEvent(
    301,
    "LedgerSuperseded",
    "warn",
    "Another node acquired the shard; this node closed its ledger.",
  ),
  ShardRecovered: defineEvent(
    302,
    "ShardRecovered",
    "info",
    "A shard's log was read, sealed and reopened.",
  ),
  RecoveryWaiting: defineEvent(
    303,
    "RecoveryWaiting",
    "warn",
    "A recovery is waiting for replicas that don't respond.",
  ),
  ShardExposed: defineEvent(
    304,
    "ShardExposed",
    "error",
    "Durable entries may be lost; their replicas failed or don't respond.",
  ),
  LogDamaged: defineEvent(
    305,
    "LogDamaged",
    "error",
    "A shard's log can't be read; the shard isn't served.",
  ),
  RecoverySuperseded: defineEvent(
    306,
    "RecoverySuperseded",
    "info",
    "Another node took over the recovery of the shard.",
  ),
  CallAccepted: defineEvent(
    401,
    "CallAccepted",
    "info",
    "A call of a program was accepted.",
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
    "An attempt ended; its result.",
  ),
  CallEnded: defineEvent(
    404,
    "CallEnded",
    "info",
    "A call ended; its outcome.",
  ),
  CallRetried: defineEvent(
    405,
    "CallRetried",
    "info",
    "A call is retried after a failed attempt.",
  ),
  TargetChosen: defineEvent(
    501,
    "TargetChosen",
    "info",
    "A target was chosen for a call; the candidates and the reason.",
  ),
  SlotGranted: defineEvent(
    502,
    "SlotGranted",
    "info",
    "A dispatcher granted a slot to an attempt.",
  ),
  SlotRefused: defineEvent(
    503,
    "SlotRefused",
    "info",
    "A dispatcher refused a slot to an attempt.",
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
    "The node can't verify that its configuration is the latest.",
  ),
  GatewayStarted: defineEvent(
    901,
    "GatewayStarted",
    "info",
    "The gateway is listening; its address and failure domain.",
  ),
  GatewayReady: defineEvent(
    902,
    "GatewayReady",
    "info",
    "The gateway has a configuration and targets and accepts callers.",
  ),
  GatewayStopping: defineEvent(
    903,
    "GatewayStopping",
    "info",
    "A graceful shutdown began; open requests continue.",
  ),
  GatewayStopped: defineEvent(
    904,
    "GatewayStopped",
    "info",
    "The gateway stopped; the number of requests that were cut off.",
  ),
  SettingsReloaded: defineEvent(
    905,
    "SettingsReloaded",
    "info",
    "The settings file was reloaded.",
  ),
  SettingsRefused: defineEvent(
    906,
    "SettingsRefused",
    "warn",
    "The settings file is invalid; the previous settings stay in force.",
  ),
  UnexpectedError: defineEvent(
    907,
    "UnexpectedError",
    "error",
    "An error that no part handled; the process continues unless they go on.",
  ),
  StoreCallsCounted: defineEvent(
    908,
    "StoreCallsCounted",
    "info",
    "Calls to the store since the last such line, by operation and kind.",
  ),
  StoreLost: defineEvent(
    911,
    "StoreLost",
    "warn",
    "Calls to the platform's store fail; the cached state stays in use.",
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
    "The store no longer has the changes; the full list is read again.",
  ),
  SourceSkipped: defineEvent(
    914,
    "SourceSkipped",
    "info",
    "A source of watched objects failed or is out of date; another is called.",
  ),
  ConfigurationUnusable: defineEvent(
    915,
    "ConfigurationUnusable",
    "warn",
    "A stored configuration is invalid; the previous one stays in force.",
  ),
  TargetChanged: defineEvent(
    916,
    "TargetChanged",
    "info",
    "A target was added or removed, or its state changed.",
  ),
  TargetUnreadable: defineEvent(
    917,
    "TargetUnreadable",
    "warn",
    "A target's entry can't be decoded; the target isn't used.",
  ),
  TargetSuspected: defineEvent(
    918,
    "TargetSuspected",
    "info",
    "A target failed requests and is avoided for some time.",
  ),
  TargetLimitChanged: defineEvent(
    919,
    "TargetLimitChanged",
    "info",
    "A target's responses name another limit on requests a second, or none.",
  ),
  ObjectUnreadable: defineEvent(
    920,
    "ObjectUnreadable",
    "warn",
    "An entry of the store can't be read and is left out of its list.",
  ),
  RequestAnswered: defineEvent(
    921,
    "RequestAnswered",
    "info",
    "A target's complete response was forwarded.",
  ),
  RequestRefused: defineEvent(
    922,
    "RequestRefused",
    "info",
    "A request was refused; no target ran it or will run it.",
  ),
  RequestFailed: defineEvent(
    923,
    "RequestFailed",
    "warn",
    "A request ended without a complete response; a target may have run it.",
  ),
  RequestAbandoned: defineEvent(
    924,
    "RequestAbandoned",
    "info",
    "The caller disconnected before the response was complete.",
  ),
  SendFailed: defineEvent(
    925,
    "SendFailed",
    "info",
    "An attempt got no complete response from its target; the next step.",
  ),
  TargetEnded: defineEvent(
    926,
    "TargetEnded",
    "warn",
    "A target broke off requests and refuses connections; what ran there.",
  ),
  RequestBlocked: defineEvent(
    927,
    "RequestBlocked",
    "warn",
    "A request is blocked, or kept from one address, since targets ended under it, or is let in again.",
  ),
  AddressInUse: defineEvent(
    928,
    "AddressInUse",
    "warn",
    "An address is still held by another process; the start waits for it.",
  ),
  TargetDoubted: defineEvent(
    929,
    "TargetDoubted",
    "info",
    "No stream goes on at a target, since it may have started again with another version than its entry states.",
  ),
  AccountRecorded: defineEvent(
    931,
    "AccountRecorded",
    "info",
    "A program's token allowance was recorded in the store.",
  ),
  AccountUnavailable: defineEvent(
    932,
    "AccountUnavailable",
    "warn",
    "A program's token allowance can't be determined at present.",
  ),
  TurnOverBudget: defineEvent(
    933,
    "TurnOverBudget",
    "info",
    "A home refused a turn that exceeds the program's token budget.",
  ),
  AccountRecordFound: defineEvent(
    934,
    "AccountRecordFound",
    "info",
    "The store already had a record when an allowance was to be recorded.",
  ),
  TurnAdmitted: defineEvent(
    935,
    "TurnAdmitted",
    "info",
    "A home granted tokens to a turn; the account afterwards.",
  ),
  AccountMet: defineEvent(
    936,
    "AccountMet",
    "info",
    "A home requested a part of a first allowance; the tokens, or why none.",
  ),
  AccountsReceived: defineEvent(
    937,
    "AccountsReceived",
    "info",
    "Another gateway transferred accounts to this one.",
  ),
  FirstAllowanceDecided: defineEvent(
    938,
    "FirstAllowanceDecided",
    "info",
    "Parts of a first allowance were granted, or refused; the reason.",
  ),
  LogLinesDropped: defineEvent(
    941,
    "LogLinesDropped",
    "warn",
    "Log lines were dropped because the output can't keep up.",
  ),
  RetirementUpdated: defineEvent(
    942,
    "RetirementUpdated",
    "info",
    "A VM that is being retired was reported as emptied.",
  ),
  OverloadChanged: defineEvent(
    943,
    "OverloadChanged",
    "warn",
    "The process became overloaded for lack of CPU time, or recovered.",
  ),
  PeerChanged: defineEvent(
    951,
    "PeerChanged",
    "info",
    "Another gateway was discovered, recovered, restarted or is leaving.",
  ),
  PeerSuspected: defineEvent(
    952,
    "PeerSuspected",
    "warn",
    "Another gateway doesn't respond; it isn't used until contact resumes.",
  ),
  PeerMessageUnreadable: defineEvent(
    953,
    "PeerMessageUnreadable",
    "warn",
    "A message from another gateway can't be decoded and was dropped.",
  ),
  ShardsChanged: defineEvent(
    955,
    "ShardsChanged",
    "info",
    "A newer shard table was received; how many shards this gateway holds.",
  ),
  ShardsReleased: defineEvent(
    956,
    "ShardsReleased",
    "info",
    "A graceful shutdown transferred this gateway's shards, or failed to.",
  ),
  ShardsUnreadable: defineEvent(
    957,
    "ShardsUnreadable",
    "warn",
    "The stored shard table can't be decoded; no first allowance is granted.",
  ),
  ChainLoaded: defineEvent(
    961,
    "ChainLoaded",
    "info",
    "A gateway read the chain of a turn from the disks, or couldn't.",
  ),
  TurnKept: defineEvent(
    962,
    "TurnKept",
    "info",
    "A gateway saved a turn on the disks before its response ended, or couldn't.",
  ),
  TurnNotSaved: defineEvent(
    963,
    "TurnNotSaved",
    "warn",
    "A disk refused to save a turn; the reason.",
  ),
  DiskRecovered: defineEvent(
    964,
    "DiskRecovered",
    "info",
    "A disk's process read its files after a start; what it found.",
  ),
  DiskRegistered: defineEvent(
    965,
    "DiskRegistered",
    "info",
    "A disk was registered, or its entry was replaced.",
  ),
  DiskComplete: defineEvent(
    966,
    "DiskComplete",
    "info",
    "A new or wiped disk has copied what the others hold.",
  ),
  TurnsCopied: defineEvent(
    967,
    "TurnsCopied",
    "info",
    "A disk copied turns of another disk.",
  ),
  DiskEmptied: defineEvent(
    968,
    "DiskEmptied",
    "info",
    "Enough other disks hold the turns of a retiring disk; its entry was removed.",
  ),
  DiskFailed: defineEvent(
    969,
    "DiskFailed",
    "warn",
    "A disk's process couldn't use its files or a page of another disk.",
  ),
  KeepersChanged: defineEvent(
    970,
    "KeepersChanged",
    "info",
    "The list of VMs that keep gateways' facts in memory has changed.",
  ),
  FactsCopied: defineEvent(
    971,
    "FactsCopied",
    "info",
    "A keeper of facts has copied what it lacked, since other keepers respond than before.",
  ),
  SignalIgnored: defineEvent(
    972,
    "SignalIgnored",
    "warn",
    "The process received a signal that asks nothing of it.",
  ),
  PathsChanged: defineEvent(
    973,
    "PathsChanged",
    "warn",
    "The gateway reaches targets directly again, or counts as cut off from them.",
  ),
  RelaysChanged: defineEvent(
    974,
    "RelaysChanged",
    "warn",
    "Another gateway connects this one to targets, or none does any more.",
  ),
  PathRefused: defineEvent(
    975,
    "PathRefused",
    "info",
    "The gateway couldn't connect another one to a target; the first of a series.",
  ),
  ConnectionsClosed: defineEvent(
    976,
    "ConnectionsClosed",
    "warn",
    "Connections were closed since there were too many, or one sent too many requests without waiting; at most one line a second.",
  ),
  InputDelayed: defineEvent(
    977,
    "InputDelayed",
    "warn",
    "What callers sent waits to be parsed, since it takes more processor time than there is; at most one line a second.",
  ),
  TenantsUnusable: defineEvent(
    980,
    "TenantsUnusable",
    "warn",
    "Parts of a configuration's tenants were left out; the others are in force.",
  ),
  KeyAuthorityChanged: defineEvent(
    981,
    "KeyAuthorityChanged",
    "warn",
    "The gateway accepts no keys, since none was confirmed for too long, or accepts them again.",
  ),
  QuotaHomeChanged: defineEvent(
    985,
    "QuotaHomeChanged",
    "info",
    "The gateway decides on a tenant's quota after another one may have done so.",
  ),
  QuotaShareChanged: defineEvent(
    986,
    "QuotaShareChanged",
    "warn",
    "The gateway is in contact with another part of the group, and grants that part of the quotas.",
  ),
  RequestQueued: defineEvent(
    990,
    "RequestQueued",
    "info",
    "A request has waited in the queue of its service and goes to a target.",
  ),
  LoadCollectorChanged: defineEvent(
    994,
    "LoadCollectorChanged",
    "info",
    "Another gateway collects the load of the targets for this one's region.",
  ),
  StreamBytesDropped: defineEvent(
    996,
    "StreamBytesDropped",
    "warn",
    "An answer of a target had bytes between its events that are neither events nor comments; they weren't forwarded.",
  ),
} as const;

/** The name of a log event. */
export type EventName = keyof typeof EVENTS;

function defineEvent(
  event: number,
  name: string,
  level: EventLevel,
  meaning: string,
): EventDefinition {
  return { event, name, level, meaning };
}

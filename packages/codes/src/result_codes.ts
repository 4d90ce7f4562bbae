/**
 * The catalogue of result codes that callers and operators may receive.
 *
 * The thousands digit is the area: 1 request, 2 program, 3 budget, 4 target, 5
 * owner, 6 platform, 7 operator language, 8 settings, 9 node.
 * docs/RESULT_CODES.md is rendered from this table; a test checks that both
 * agree.
 */

/** The definition of a result code. */
export interface ResultCodeDefinition {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  /** Whether the same request may succeed later. */
  readonly retryable: boolean;
  readonly meaning: string;
}

/** Every result code, by name. */
export const RESULT_CODES = {
  BodyInvalid: defineCode(
    1001,
    "BodyInvalid",
    400,
    false,
    "The request body doesn't match the schema.",
  ),
  BodyTooLarge: defineCode(
    1002,
    "BodyTooLarge",
    413,
    false,
    "The request body is larger than the limit.",
  ),
  HeaderInvalid: defineCode(
    1003,
    "HeaderInvalid",
    400,
    false,
    "A request header is missing or malformed.",
  ),
  PathUnknown: defineCode(
    1004,
    "PathUnknown",
    404,
    false,
    "No such path or method.",
  ),
  KeyReused: defineCode(
    1005,
    "KeyReused",
    422,
    false,
    "The idempotency key was used for another call.",
  ),
  OffsetBeyondText: defineCode(
    1006,
    "OffsetBeyondText",
    416,
    false,
    "The resume offset is beyond the text produced.",
  ),
  RouteUnknown: defineCode(
    1007,
    "RouteUnknown",
    404,
    false,
    "No route matches the request's host and path.",
  ),
  ProgramUnknown: defineCode(
    2001,
    "ProgramUnknown",
    404,
    false,
    "No such program.",
  ),
  ProgramEnded: defineCode(
    2002,
    "ProgramEnded",
    409,
    false,
    "The program has ended.",
  ),
  ProgramIdInvalid: defineCode(
    2003,
    "ProgramIdInvalid",
    400,
    false,
    "The program id is malformed.",
  ),
  CallUnknown: defineCode(2004, "CallUnknown", 404, false, "No such call."),
  TurnLimitReached: defineCode(
    2005,
    "TurnLimitReached",
    409,
    false,
    "The program has reached its turn limit.",
  ),
  DeadlinePassed: defineCode(
    2006,
    "DeadlinePassed",
    409,
    false,
    "The program's deadline has passed.",
  ),
  HistoryTooLong: defineCode(
    2007,
    "HistoryTooLong",
    409,
    false,
    "The program's history is longer than the limit.",
  ),
  TurnUnknown: defineCode(
    2008,
    "TurnUnknown",
    404,
    false,
    "The turn that the request continues doesn't exist or is no longer kept.",
  ),
  HistoryUnavailable: defineCode(
    2009,
    "HistoryUnavailable",
    503,
    true,
    "The turn that the request continues can't be read at present, or too few disks are there to keep a new one.",
  ),
  TurnNotKept: defineCode(
    2010,
    "TurnNotKept",
    502,
    true,
    "The turn has run, but too few disks confirmed it in time; its stream was cut.",
  ),
  BudgetExhausted: defineCode(
    3001,
    "BudgetExhausted",
    402,
    false,
    "The program's budget doesn't cover the call.",
  ),
  SharedBudgetExhausted: defineCode(
    3002,
    "SharedBudgetExhausted",
    402,
    true,
    "The team's or partner's budget doesn't cover the call.",
  ),
  TurnOverBudget: defineCode(
    3003,
    "TurnOverBudget",
    402,
    false,
    "The program's token budget doesn't cover another turn.",
  ),
  AccountUnavailable: defineCode(
    3004,
    "AccountUnavailable",
    503,
    true,
    "The program's token account can't be read at present.",
  ),
  NoTarget: defineCode(
    4001,
    "NoTarget",
    503,
    true,
    "No target serves the model or service.",
  ),
  TargetRejected: defineCode(
    4002,
    "TargetRejected",
    502,
    false,
    "The target responded with an error.",
  ),
  TargetBroken: defineCode(
    4003,
    "TargetBroken",
    502,
    true,
    "The connection to the target broke.",
  ),
  TargetStalled: defineCode(
    4004,
    "TargetStalled",
    504,
    true,
    "The target made no progress in time.",
  ),
  OutcomeUnknown: defineCode(
    4005,
    "OutcomeUnknown",
    502,
    false,
    "A non-idempotent attempt may have run; it isn't retried.",
  ),
  Overloaded: defineCode(
    4006,
    "Overloaded",
    503,
    true,
    "The targets are at their limit; the call wasn't run.",
  ),
  AnswerCut: defineCode(
    4007,
    "AnswerCut",
    502,
    true,
    "The response's length or digest doesn't match.",
  ),
  TargetTimeout: defineCode(
    4008,
    "TargetTimeout",
    504,
    true,
    "No target responded within the route's time limit.",
  ),
  RequestCrashesTargets: defineCode(
    4009,
    "RequestCrashesTargets",
    503,
    true,
    "Targets ended under the same request; it isn't run for some time.",
  ),
  StreamUnknown: defineCode(
    4010,
    "StreamUnknown",
    503,
    true,
    "The version that began the stream isn't known; nothing was run.",
  ),
  StreamVersionGone: defineCode(
    4011,
    "StreamVersionGone",
    503,
    true,
    "No target of the version that began the stream is ready.",
  ),
  OwnerUnreachable: defineCode(
    5001,
    "OwnerUnreachable",
    503,
    true,
    "The program's owner can't be reached; nothing was run.",
  ),
  OwnerSuperseded: defineCode(
    5002,
    "OwnerSuperseded",
    503,
    true,
    "Another node took over the shard; retry to reach the new owner.",
  ),
  LedgerFull: defineCode(
    5003,
    "LedgerFull",
    503,
    true,
    "The ledger has too many bytes that aren't stored yet.",
  ),
  AnswerUncertain: defineCode(
    5004,
    "AnswerUncertain",
    504,
    true,
    "The owner didn't respond in time; retry with the same key.",
  ),
  EntryTooLarge: defineCode(
    5005,
    "EntryTooLarge",
    413,
    false,
    "A call or response is too large for one ledger entry.",
  ),
  SegmentUnreadable: defineCode(
    5301,
    "SegmentUnreadable",
    500,
    false,
    "A stored segment or snapshot can't be decoded.",
  ),
  PlatformUnavailable: defineCode(
    6001,
    "PlatformUnavailable",
    503,
    true,
    "The platform's service can't be reached.",
  ),
  PlatformConflict: defineCode(
    6002,
    "PlatformConflict",
    409,
    true,
    "Another change was stored first.",
  ),
  ConfigurationMissing: defineCode(
    6003,
    "ConfigurationMissing",
    503,
    true,
    "The node hasn't received a configuration yet.",
  ),
  GatewayStopping: defineCode(
    6004,
    "GatewayStopping",
    503,
    true,
    "The gateway stops before the request could end; it wasn't run.",
  ),
  StatementInvalid: defineCode(
    7001,
    "StatementInvalid",
    400,
    false,
    "The statement can't be parsed.",
  ),
  RevisionMismatch: defineCode(
    7002,
    "RevisionMismatch",
    409,
    false,
    "The configuration isn't at the required revision.",
  ),
  ChangeInvalid: defineCode(
    7003,
    "ChangeInvalid",
    422,
    false,
    "The change violates a rule of the configuration.",
  ),
  ChangeUncertain: defineCode(
    7004,
    "ChangeUncertain",
    504,
    true,
    "It's not confirmed yet whether the change was stored.",
  ),
  ChangeQueueFull: defineCode(
    7005,
    "ChangeQueueFull",
    503,
    true,
    "The node has too many changes in progress; nothing was changed.",
  ),
  RevisionUnavailable: defineCode(
    7006,
    "RevisionUnavailable",
    404,
    false,
    "The node doesn't have the requested revision.",
  ),
  QueryInvalid: defineCode(
    7007,
    "QueryInvalid",
    400,
    false,
    "The query names a column or value that doesn't exist.",
  ),
  SettingsInvalid: defineCode(
    8001,
    "SettingsInvalid",
    500,
    false,
    "The settings file has errors.",
  ),
  SettingsUnreadable: defineCode(
    8002,
    "SettingsUnreadable",
    500,
    false,
    "The settings file can't be read.",
  ),
  NodeStopping: defineCode(
    9001,
    "NodeStopping",
    503,
    true,
    "The node is stopping; use another.",
  ),
  NodeNotReady: defineCode(
    9002,
    "NodeNotReady",
    503,
    true,
    "The node hasn't received its configuration yet.",
  ),
  NodeCutOff: defineCode(
    9003,
    "NodeCutOff",
    503,
    true,
    "The node can't reach most other nodes.",
  ),
  PeerListenFailed: defineCode(
    9004,
    "PeerListenFailed",
    500,
    true,
    "The node can't listen on its address for other nodes.",
  ),
  PeerTlsInvalid: defineCode(
    9005,
    "PeerTlsInvalid",
    500,
    false,
    "The certificates for connections between nodes can't be used.",
  ),
  PeerFrameInvalid: defineCode(
    9006,
    "PeerFrameInvalid",
    400,
    false,
    "A frame or message from another node is malformed.",
  ),
  PeerVersionMismatch: defineCode(
    9007,
    "PeerVersionMismatch",
    400,
    false,
    "Another node and this one have no protocol version in common.",
  ),
  PeerWrongNode: defineCode(
    9008,
    "PeerWrongNode",
    409,
    true,
    "The address belongs to a different node than the expected one.",
  ),
  Internal: defineCode(
    9999,
    "Internal",
    500,
    false,
    "A defect in the node; its log has the details.",
  ),
} as const;

/** The name of a result code. */
export type ResultCodeName = keyof typeof RESULT_CODES;

function defineCode(
  code: number,
  name: string,
  httpStatus: number,
  retryable: boolean,
  meaning: string,
): ResultCodeDefinition {
  return { code, name, httpStatus, retryable, meaning };
}

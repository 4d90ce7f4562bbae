/**
 * The shapes of the messages between nodes, checked on receipt.
 *
 * Fields that a shape doesn't list are ignored. The types require a check for
 * each required field of each kind, so that a new one fails to compile until
 * it's listed here. New fields must be optional: a required field would make
 * the messages of earlier releases, which don't send it, malformed.
 */
import type {
  NodeDigest,
  NodeQuery,
  NodeSpec,
  PartnerQueue,
  PeerMessage,
  RevisionReport,
  ShardAssignment,
  TargetLoad,
} from "@camphorlock/types";
import {
  checkCallerRequest,
  checkCallerResponse,
  checkLedgerEntry,
} from "./call_shapes.ts";
import {
  buildEnumCheck,
  buildListCheck,
  buildObjectCheck,
  buildOptionalCheck,
  buildUnionCheck,
  checkBoolean,
  checkBytes,
  checkNumber,
  type CheckResult,
  checkString,
  checkUnsigned,
  findInvalidField,
  isObject,
  type Shape,
  type UnionShape,
} from "./field_checks.ts";

const NODE_SPEC: Shape<NodeSpec> = {
  vmId: checkString,
  incarnation: checkUnsigned,
  region: checkString,
  failureDomain: checkString,
  peerAddress: checkString,
  callerAddress: checkString,
  hasDisk: checkBoolean,
};

const NODE_DIGEST: Shape<NodeDigest> = {
  spec: buildObjectCheck(NODE_SPEC),
  state: buildEnumCheck(["alive", "suspect", "leaving", "dead"]),
  number: checkUnsigned,
  revision: checkUnsigned,
};

const REVISION_REPORT: Shape<RevisionReport> = {
  revision: checkUnsigned,
  processes: checkBytes,
  lacking: buildOptionalCheck(checkBytes),
};

const SHARD_ASSIGNMENT: Shape<ShardAssignment> = {
  shard: checkUnsigned,
  epoch: checkUnsigned,
  owner: checkString,
  ownerIncarnation: checkUnsigned,
  keepers: buildListCheck(checkString),
};

const PARTNER_QUEUE: Shape<PartnerQueue> = {
  partner: checkString,
  queued: checkNumber,
  short: checkNumber,
};

const TARGET_LOAD: Shape<TargetLoad> = {
  targetId: checkString,
  running: checkNumber,
  queued: checkNumber,
  limit: checkNumber,
  queuedPromptTokens: checkNumber,
  relativeSpeed: checkNumber,
  tokenMs: buildOptionalCheck(checkNumber),
  slotMs: buildOptionalCheck(checkNumber),
  prefillTokens: buildOptionalCheck(checkNumber),
  queuedBy: buildOptionalCheck(buildListCheck(buildObjectCheck(PARTNER_QUEUE))),
};

/** Checks for an object. The values of a row are checked when it's printed. */
function checkRow(value: unknown): CheckResult {
  return isObject(value) ? "fits" : "malformed";
}

const QUERY_SHAPES: UnionShape<NodeQuery> = {
  programs: {},
  nodes: {},
  shards: {},
  decisions: { callId: checkString },
};

const MESSAGE_SHAPES: UnionShape<PeerMessage> = {
  "owner_request": {
    requestId: checkString,
    shard: checkUnsigned,
    request: checkCallerRequest,
  },
  "owner_answer": { requestId: checkString, answer: checkCallerResponse },
  "not_owner": {
    requestId: checkString,
    shard: checkUnsigned,
    knownEpoch: checkUnsigned,
  },
  "caller_gone": { requestId: checkString },
  "keep_entries": {
    shard: checkUnsigned,
    epoch: checkUnsigned,
    entries: buildListCheck(checkLedgerEntry),
    storedThrough: checkUnsigned,
    durableThrough: checkUnsigned,
    keeperIncarnation: checkUnsigned,
    token: checkUnsigned,
  },
  "entries_kept": {
    shard: checkUnsigned,
    epoch: checkUnsigned,
    keptThrough: checkUnsigned,
    keeperIncarnation: checkUnsigned,
    token: checkUnsigned,
  },
  "keep_refused": {
    shard: checkUnsigned,
    epoch: checkUnsigned,
    sealedEpoch: checkUnsigned,
    token: checkUnsigned,
  },
  "seal_keeper": {
    shard: checkUnsigned,
    epoch: checkUnsigned,
    afterSequence: checkUnsigned,
    token: checkUnsigned,
  },
  "keeper_sealed": {
    shard: checkUnsigned,
    epoch: checkUnsigned,
    heldEpoch: checkUnsigned,
    entries: buildListCheck(checkLedgerEntry),
    more: checkBoolean,
    storedThrough: checkUnsigned,
    keptThrough: checkUnsigned,
    complete: checkBoolean,
    keeperIncarnation: checkUnsigned,
    token: checkUnsigned,
  },
  "slot_request": {
    attemptId: checkString,
    targetId: checkString,
    partner: checkString,
    programClass: checkString,
    agent: checkString,
    programId: checkString,
    attainedMs: checkNumber,
    promptTokens: checkNumber,
    cachedTokens: checkNumber,
    maxTokens: checkNumber,
    programAgeMs: buildOptionalCheck(checkNumber),
  },
  "slot_granted": {
    attemptId: checkString,
    targetId: checkString,
    expiresInMs: checkNumber,
    load: buildOptionalCheck(buildObjectCheck(TARGET_LOAD)),
  },
  "slot_refused": {
    attemptId: checkString,
    targetId: checkString,
    reason: checkString,
    retryAfterMs: checkNumber,
    load: buildOptionalCheck(buildObjectCheck(TARGET_LOAD)),
  },
  "slot_renewed": {
    attemptId: checkString,
    targetId: checkString,
    tokens: checkNumber,
  },
  "slot_released": {
    attemptId: checkString,
    targetId: checkString,
    outcome: checkString,
    firstTokenMs: checkNumber,
    durationMs: checkNumber,
    tokens: checkNumber,
  },
  "target_loads": { loads: buildListCheck(buildObjectCheck(TARGET_LOAD)) },
  heartbeat: {
    spec: buildObjectCheck(NODE_SPEC),
    state: buildEnumCheck(["alive", "leaving"]),
    revision: checkUnsigned,
    number: checkUnsigned,
    stateNumber: checkUnsigned,
    knownNodes: checkUnsigned,
    digest: buildListCheck(buildObjectCheck(NODE_DIGEST)),
    report: buildOptionalCheck(buildObjectCheck(REVISION_REPORT)),
  },
  "heartbeat_ack": {
    number: checkUnsigned,
    incarnation: checkUnsigned,
    revision: checkUnsigned,
    digest: buildListCheck(buildObjectCheck(NODE_DIGEST)),
    report: buildOptionalCheck(buildObjectCheck(REVISION_REPORT)),
  },
  "probe_request": { vmId: checkString, number: checkUnsigned },
  "probe_result": {
    vmId: checkString,
    number: checkUnsigned,
    reached: checkBoolean,
  },
  "rows_request": {
    requestId: checkString,
    query: buildUnionCheck(QUERY_SHAPES),
  },
  "rows_answer": { requestId: checkString, rows: buildListCheck(checkRow) },
  "assignment_news": {
    assignments: buildListCheck(buildObjectCheck(SHARD_ASSIGNMENT)),
  },
  "handover_offer": { shards: buildListCheck(checkUnsigned) },
  "configuration_request": { afterRevision: checkUnsigned },
  "configuration_offer": { revision: checkUnsigned, value: checkBytes },
};

/** Whether this release supports a kind of message. */
export function isSupportedKind(kind: string): kind is PeerMessage["kind"] {
  return Object.hasOwn(MESSAGE_SHAPES, kind);
}

/** Finds the first invalid field of a message. */
export function findInvalidMessageField(
  kind: PeerMessage["kind"],
  message: Record<string, unknown>,
): { readonly field: string; readonly result: CheckResult } | undefined {
  const shape: Shape<unknown> = MESSAGE_SHAPES[kind];
  return findInvalidField(shape, message);
}

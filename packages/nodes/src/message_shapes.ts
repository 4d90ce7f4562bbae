/**
 * The shapes of the messages between nodes, checked on receipt.
 *
 * A field that a shape doesn't name is ignored. The table covers every field
 * of every kind, so that a new one fails to compile until it's listed here.
 * A required field that an earlier release doesn't send makes its messages
 * malformed, so that fields are added as optional ones.
 */
import type {
  NodeDigest,
  NodeSpec,
  PartnerQueue,
  PeerMessage,
  RevisionReport,
  ShardAssignment,
  TargetLoad,
} from "@camphorlock/types";
import {
  checkCallerAnswer,
  checkCallerRequest,
  checkLedgerEntry,
} from "./call_shapes.ts";
import {
  buildListOf,
  buildOneOf,
  buildOptional,
  buildShape,
  checkAmount,
  checkBytes,
  checkFlag,
  checkText,
  checkWhole,
  findMisfit,
  type Fit,
  type Shape,
  type UnionShape,
} from "./field_checks.ts";

const NODE_SPEC: Shape<NodeSpec> = {
  vmId: checkText,
  incarnation: checkWhole,
  region: checkText,
  failureDomain: checkText,
  peerAddress: checkText,
  callerAddress: checkText,
  hasDisk: checkFlag,
};

const NODE_DIGEST: Shape<NodeDigest> = {
  spec: buildShape(NODE_SPEC),
  state: buildOneOf(["alive", "suspect", "leaving", "dead"]),
  number: checkWhole,
  revision: checkWhole,
};

const REVISION_REPORT: Shape<RevisionReport> = {
  revision: checkWhole,
  processes: checkBytes,
  lacking: buildOptional(checkBytes),
};

const SHARD_ASSIGNMENT: Shape<ShardAssignment> = {
  shard: checkWhole,
  epoch: checkWhole,
  owner: checkText,
  ownerIncarnation: checkWhole,
  keepers: buildListOf(checkText),
};

const PARTNER_QUEUE: Shape<PartnerQueue> = {
  partner: checkText,
  queued: checkAmount,
  short: checkAmount,
};

const TARGET_LOAD: Shape<TargetLoad> = {
  targetId: checkText,
  running: checkAmount,
  queued: checkAmount,
  limit: checkAmount,
  queuedPromptTokens: checkAmount,
  relativeSpeed: checkAmount,
  tokenMs: buildOptional(checkAmount),
  slotMs: buildOptional(checkAmount),
  prefillTokens: buildOptional(checkAmount),
  queuedBy: buildOptional(buildListOf(buildShape(PARTNER_QUEUE))),
};

const MESSAGE_SHAPES: UnionShape<PeerMessage> = {
  "owner_request": {
    requestId: checkText,
    shard: checkWhole,
    request: checkCallerRequest,
  },
  "owner_answer": { requestId: checkText, answer: checkCallerAnswer },
  "not_owner": {
    requestId: checkText,
    shard: checkWhole,
    knownEpoch: checkWhole,
  },
  "caller_gone": { requestId: checkText },
  "keep_entries": {
    shard: checkWhole,
    epoch: checkWhole,
    entries: buildListOf(checkLedgerEntry),
    storedThrough: checkWhole,
    durableThrough: checkWhole,
    keeperIncarnation: checkWhole,
    token: checkWhole,
  },
  "entries_kept": {
    shard: checkWhole,
    epoch: checkWhole,
    keptThrough: checkWhole,
    keeperIncarnation: checkWhole,
    token: checkWhole,
  },
  "keep_refused": {
    shard: checkWhole,
    epoch: checkWhole,
    sealedEpoch: checkWhole,
    token: checkWhole,
  },
  "seal_keeper": {
    shard: checkWhole,
    epoch: checkWhole,
    afterSequence: checkWhole,
    token: checkWhole,
  },
  "keeper_sealed": {
    shard: checkWhole,
    epoch: checkWhole,
    heldEpoch: checkWhole,
    entries: buildListOf(checkLedgerEntry),
    more: checkFlag,
    storedThrough: checkWhole,
    keptThrough: checkWhole,
    complete: checkFlag,
    keeperIncarnation: checkWhole,
    token: checkWhole,
  },
  "slot_request": {
    attemptId: checkText,
    targetId: checkText,
    partner: checkText,
    programClass: checkText,
    agent: checkText,
    programId: checkText,
    attainedMs: checkAmount,
    promptTokens: checkAmount,
    cachedTokens: checkAmount,
    maxTokens: checkAmount,
    programAgeMs: buildOptional(checkAmount),
  },
  "slot_granted": {
    attemptId: checkText,
    targetId: checkText,
    expiresInMs: checkAmount,
    load: buildOptional(buildShape(TARGET_LOAD)),
  },
  "slot_refused": {
    attemptId: checkText,
    targetId: checkText,
    reason: checkText,
    retryAfterMs: checkAmount,
    load: buildOptional(buildShape(TARGET_LOAD)),
  },
  "slot_renewed": {
    attemptId: checkText,
    targetId: checkText,
    tokens: checkAmount,
  },
  "slot_released": {
    attemptId: checkText,
    targetId: checkText,
    outcome: checkText,
    firstTokenMs: checkAmount,
    durationMs: checkAmount,
    tokens: checkAmount,
  },
  "target_loads": { loads: buildListOf(buildShape(TARGET_LOAD)) },
  heartbeat: {
    spec: buildShape(NODE_SPEC),
    state: buildOneOf(["alive", "leaving"]),
    revision: checkWhole,
    number: checkWhole,
    stateNumber: checkWhole,
    knownNodes: checkWhole,
    digest: buildListOf(buildShape(NODE_DIGEST)),
    report: buildOptional(buildShape(REVISION_REPORT)),
  },
  "heartbeat_ack": {
    number: checkWhole,
    incarnation: checkWhole,
    revision: checkWhole,
    digest: buildListOf(buildShape(NODE_DIGEST)),
    report: buildOptional(buildShape(REVISION_REPORT)),
  },
  "probe_request": { vmId: checkText, number: checkWhole },
  "probe_result": { vmId: checkText, number: checkWhole, reached: checkFlag },
  "assignment_news": { assignments: buildListOf(buildShape(SHARD_ASSIGNMENT)) },
  "handover_offer": { shards: buildListOf(checkWhole) },
  "configuration_request": { afterRevision: checkWhole },
  "configuration_offer": { revision: checkWhole, value: checkBytes },
};

/** Whether a kind of message is known to this release. */
export function isKnownKind(kind: string): kind is PeerMessage["kind"] {
  return Object.hasOwn(MESSAGE_SHAPES, kind);
}

/** Finds the first field of a message that doesn't fit its kind. */
export function findBadField(
  kind: PeerMessage["kind"],
  message: Record<string, unknown>,
): { readonly field: string; readonly fit: Fit } | undefined {
  const shape: Shape<unknown> = MESSAGE_SHAPES[kind];
  return findMisfit(shape, message);
}

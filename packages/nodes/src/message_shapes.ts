/**
 * The shapes of the messages between nodes, checked on receipt.
 *
 * A field that a shape doesn't name is ignored. The table covers every field
 * of every kind, so that a new one fails to compile until it's listed here.
 */
import type {
  LedgerEntry,
  NodeDigest,
  NodeSpec,
  PeerMessage,
  ShardAssignment,
  TargetLoad,
} from "@camphorlock/types";

/** Whether a received value fits a field. */
type FieldCheck = (value: unknown) => boolean;

/** A check for each field of a message or part. */
type Shape<T> = { readonly [F in Exclude<keyof T, "kind">]-?: FieldCheck };

type MessageShapes = {
  readonly [K in PeerMessage["kind"]]: Shape<Extract<PeerMessage, { kind: K }>>;
};

const LARGEST_LIST = 100_000;

const isText: FieldCheck = (value) => typeof value === "string";
const isFlag: FieldCheck = (value) => typeof value === "boolean";
const isAmount: FieldCheck = (value) =>
  typeof value === "number" && Number.isFinite(value);
const isWhole: FieldCheck = (value) =>
  typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
const isBytes: FieldCheck = (value) => value instanceof Uint8Array;
const isUnion: FieldCheck = (value) =>
  isObject(value) && typeof value["kind"] === "string";

const NODE_SPEC: Shape<NodeSpec> = {
  vmId: isText,
  incarnation: isWhole,
  region: isText,
  failureDomain: isText,
  peerAddress: isText,
  callerAddress: isText,
  hasDisk: isFlag,
};

const NODE_DIGEST: Shape<NodeDigest> = {
  spec: isShape(NODE_SPEC),
  state: isOneOf(["alive", "suspect", "leaving", "dead"]),
  number: isWhole,
  revision: isWhole,
};

const SHARD_ASSIGNMENT: Shape<ShardAssignment> = {
  shard: isWhole,
  epoch: isWhole,
  owner: isText,
  ownerIncarnation: isWhole,
  keepers: isListOf(isText),
};

const LEDGER_ENTRY: Shape<LedgerEntry> = {
  shard: isWhole,
  epoch: isWhole,
  sequence: isWhole,
  body: isUnion,
};

const TARGET_LOAD: Shape<TargetLoad> = {
  targetId: isText,
  running: isAmount,
  queued: isAmount,
  limit: isAmount,
  queuedPromptTokens: isAmount,
  relativeSpeed: isAmount,
  tokenMs: isAbsentOr(isAmount),
  slotMs: isAbsentOr(isAmount),
  prefillTokens: isAbsentOr(isAmount),
};

const MESSAGE_SHAPES: MessageShapes = {
  "owner_request": { requestId: isText, shard: isWhole, request: isUnion },
  "owner_answer": { requestId: isText, answer: isUnion },
  "not_owner": { requestId: isText, shard: isWhole, knownEpoch: isWhole },
  "caller_gone": { requestId: isText },
  "keep_entries": {
    shard: isWhole,
    epoch: isWhole,
    entries: isListOf(isShape(LEDGER_ENTRY)),
    storedThrough: isWhole,
    durableThrough: isWhole,
    keeperIncarnation: isWhole,
    token: isWhole,
  },
  "entries_kept": {
    shard: isWhole,
    epoch: isWhole,
    keptThrough: isWhole,
    keeperIncarnation: isWhole,
    token: isWhole,
  },
  "keep_refused": {
    shard: isWhole,
    epoch: isWhole,
    sealedEpoch: isWhole,
    token: isWhole,
  },
  "seal_keeper": {
    shard: isWhole,
    epoch: isWhole,
    afterSequence: isWhole,
    token: isWhole,
  },
  "keeper_sealed": {
    shard: isWhole,
    epoch: isWhole,
    heldEpoch: isWhole,
    entries: isListOf(isShape(LEDGER_ENTRY)),
    more: isFlag,
    storedThrough: isWhole,
    keptThrough: isWhole,
    complete: isFlag,
    keeperIncarnation: isWhole,
    token: isWhole,
  },
  "slot_request": {
    attemptId: isText,
    targetId: isText,
    partner: isText,
    programClass: isText,
    agent: isText,
    programId: isText,
    attainedMs: isAmount,
    promptTokens: isAmount,
    cachedTokens: isAmount,
    maxTokens: isAmount,
    programAgeMs: isAbsentOr(isAmount),
  },
  "slot_granted": {
    attemptId: isText,
    targetId: isText,
    expiresInMs: isAmount,
    load: isAbsentOr(isShape(TARGET_LOAD)),
  },
  "slot_refused": {
    attemptId: isText,
    targetId: isText,
    reason: isText,
    retryAfterMs: isAmount,
    load: isAbsentOr(isShape(TARGET_LOAD)),
  },
  "slot_renewed": { attemptId: isText, targetId: isText, tokens: isAmount },
  "slot_released": {
    attemptId: isText,
    targetId: isText,
    outcome: isText,
    firstTokenMs: isAmount,
    durationMs: isAmount,
    tokens: isAmount,
  },
  "target_loads": { loads: isListOf(isShape(TARGET_LOAD)) },
  heartbeat: {
    spec: isShape(NODE_SPEC),
    state: isOneOf(["alive", "leaving"]),
    revision: isWhole,
    number: isWhole,
    stateNumber: isWhole,
    knownNodes: isWhole,
    digest: isListOf(isShape(NODE_DIGEST)),
  },
  "heartbeat_ack": {
    number: isWhole,
    incarnation: isWhole,
    revision: isWhole,
    digest: isListOf(isShape(NODE_DIGEST)),
  },
  "probe_request": { vmId: isText, number: isWhole },
  "probe_result": { vmId: isText, number: isWhole, reached: isFlag },
  "assignment_news": { assignments: isListOf(isShape(SHARD_ASSIGNMENT)) },
  "handover_offer": { shards: isListOf(isWhole) },
  "configuration_request": { afterRevision: isWhole },
  "configuration_offer": { revision: isWhole, value: isBytes },
};

/** Whether a kind of message is known to this release. */
export function isKnownKind(kind: string): kind is PeerMessage["kind"] {
  return Object.hasOwn(MESSAGE_SHAPES, kind);
}

/** Finds the first field of a message that doesn't fit its kind. */
export function findBadField(
  kind: PeerMessage["kind"],
  message: Record<string, unknown>,
): string | undefined {
  return findMisfit(MESSAGE_SHAPES[kind], message);
}

/** Whether a value is an object with named fields. */
export function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function findMisfit(
  shape: Readonly<Record<string, FieldCheck>>,
  value: Record<string, unknown>,
): string | undefined {
  for (const field in shape) {
    if (!Object.hasOwn(shape, field)) continue;
    if (shape[field]?.(value[field]) !== true) return field;
  }
  return undefined;
}

function isShape<T>(shape: Shape<T>): FieldCheck {
  const fields = shape as Readonly<Record<string, FieldCheck>>;
  return (value) => isObject(value) && findMisfit(fields, value) === undefined;
}

function isListOf(isMember: FieldCheck): FieldCheck {
  return (value) =>
    Array.isArray(value) && value.length <= LARGEST_LIST &&
    value.every(isMember);
}

function isOneOf(members: readonly string[]): FieldCheck {
  return (value) => typeof value === "string" && members.includes(value);
}

function isAbsentOr(check: FieldCheck): FieldCheck {
  return (value) => value === undefined || check(value);
}

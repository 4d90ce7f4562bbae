/**
 * The shapes of programs, calls and ledger entries inside messages.
 */
import {
  type Call,
  type CallerAnswer,
  type CallerRequest,
  type ChatMessage,
  type CompletedOutcome,
  type EntryBody,
  type FailedOutcome,
  type FailureView,
  type HistoryItem,
  type LedgerEntry,
  type NotRunOutcome,
  PARTNERS,
  PROGRAM_CLASSES,
  type ProgramSpec,
  type ProgramView,
  type UnknownOutcome,
  type Usage,
} from "@camphorlock/types";
import {
  buildListOf,
  buildOneOf,
  buildOptional,
  buildShape,
  buildUnion,
  checkAmount,
  checkFlag,
  checkInteger,
  checkText,
  checkWhole,
  type FieldCheck,
  isObject,
} from "./field_checks.ts";

const checkPartner = buildOneOf(PARTNERS);
const checkClass = buildOneOf(PROGRAM_CLASSES);

const checkSpec = buildShape<ProgramSpec>({
  programId: checkText,
  partner: checkPartner,
  team: buildOptional(checkText),
  agent: checkText,
  programClass: checkClass,
  budgetMicros: checkInteger,
  parentId: buildOptional(checkText),
  parallel: checkFlag,
  deadlineAtMs: buildOptional(checkAmount),
});

const checkChatMessage = buildShape<ChatMessage>({
  role: buildOneOf(["system", "user", "assistant", "tool"]),
  content: checkText,
});

const checkCall = buildUnion<Call>({
  model: {
    model: checkText,
    messages: buildListOf(checkChatMessage),
    maxTokens: checkWhole,
  },
  service: {
    service: checkText,
    operation: checkText,
    body: checkText,
    idempotent: checkFlag,
  },
});

const checkUsage = buildShape<Usage>({
  promptTokens: checkWhole,
  cachedTokens: checkWhole,
  completionTokens: checkWhole,
});

const checkCompleted = buildShape<CompletedOutcome>({
  status: checkText,
  attemptId: checkText,
  targetId: checkText,
  text: checkText,
  usage: checkUsage,
  chargeMicros: checkInteger,
  agreementRevision: checkWhole,
  digest: checkText,
});

const checkCharged = buildShape<FailedOutcome | UnknownOutcome>({
  status: checkText,
  code: checkWhole,
  detail: checkText,
  chargeMicros: checkInteger,
  agreementRevision: checkWhole,
});

const checkNotRun = buildShape<NotRunOutcome>({
  status: checkText,
  code: checkWhole,
  detail: checkText,
  retryAfterMs: buildOptional(checkAmount),
});

const checkOutcome: FieldCheck = (value) => {
  if (!isObject(value)) return "malformed";
  switch (value["status"]) {
    case "completed":
      return checkCompleted(value);
    case "failed":
    case "unknown":
      return checkCharged(value);
    case "not_run":
      return checkNotRun(value);
    default:
      return typeof value["status"] === "string" ? "unknown_kind" : "malformed";
  }
};

const checkHistoryItem = buildShape<HistoryItem>({
  callId: checkText,
  key: checkText,
  call: checkCall,
  outcome: checkOutcome,
  endedAtMs: checkAmount,
});

const checkProgramView = buildShape<ProgramView>({
  spec: checkSpec,
  state: buildOneOf(["open", "ended"]),
  spentMicros: checkInteger,
  reservedMicros: checkInteger,
  calls: checkWhole,
  running: checkWhole,
});

const checkFailure = buildShape<FailureView>({
  code: checkWhole,
  detail: checkText,
  retryAfterMs: buildOptional(checkAmount),
});

/** Checks a caller's request. */
export const checkCallerRequest = buildUnion<CallerRequest>({
  "create_program": { spec: checkSpec },
  "run_call": {
    programId: checkText,
    key: checkText,
    call: checkCall,
    fromOffset: checkWhole,
    deliveredText: buildOptional(checkText),
  },
  "show_call": { programId: checkText, key: checkText },
  "show_program": { programId: checkText },
  "read_history": { programId: checkText },
  "end_program": { programId: checkText },
});

/** Checks an answer to a caller. */
export const checkCallerAnswer = buildUnion<CallerAnswer>({
  program: { program: checkProgramView },
  text: { callId: checkText, offset: checkWhole, text: checkText },
  outcome: { callId: checkText, outcome: checkOutcome },
  running: { callId: checkText },
  history: { programId: checkText, items: buildListOf(checkHistoryItem) },
  refused: { failure: checkFailure },
});

const checkEntryBody = buildUnion<EntryBody>({
  "program_created": { spec: checkSpec },
  "call_accepted": {
    programId: checkText,
    callId: checkText,
    key: checkText,
    requestDigest: checkText,
    call: checkCall,
    shared: buildOptional(
      buildShape<{ callId: string; count: number }>({
        callId: checkText,
        count: checkWhole,
      }),
    ),
    reservedMicros: checkInteger,
  },
  "attempt_started": {
    programId: checkText,
    callId: checkText,
    attemptId: checkText,
    targetId: checkText,
  },
  "attempt_lost": {
    programId: checkText,
    callId: checkText,
    attemptId: checkText,
    heldMicros: checkInteger,
    chargedMicros: checkInteger,
  },
  "call_ended": {
    programId: checkText,
    callId: checkText,
    outcome: checkOutcome,
    endedAtMs: checkAmount,
    serviceMs: checkAmount,
  },
  "program_ended": { programId: checkText, reason: checkText },
  "memory_released": { programId: checkText, targetId: checkText },
});

/** Checks a ledger entry. */
export const checkLedgerEntry = buildShape<LedgerEntry>({
  shard: checkWhole,
  epoch: checkWhole,
  sequence: checkWhole,
  body: checkEntryBody,
});

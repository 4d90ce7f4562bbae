/**
 * Checks of programs, calls and ledger entries within messages.
 */
import {
  type Call,
  type CallerRequest,
  type CallerResponse,
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
  buildEnumCheck,
  buildListCheck,
  buildObjectCheck,
  buildOptionalCheck,
  buildUnionCheck,
  checkBoolean,
  checkInteger,
  checkNumber,
  checkString,
  checkUnsigned,
  type FieldCheck,
  isObject,
} from "./field_checks.ts";

const checkPartner = buildEnumCheck(PARTNERS);
const checkClass = buildEnumCheck(PROGRAM_CLASSES);

const checkSpec = buildObjectCheck<ProgramSpec>({
  programId: checkString,
  partner: checkPartner,
  team: buildOptionalCheck(checkString),
  agent: checkString,
  programClass: checkClass,
  budgetMicros: checkInteger,
  parentId: buildOptionalCheck(checkString),
  parallel: checkBoolean,
  deadlineAtMs: buildOptionalCheck(checkNumber),
});

const checkChatMessage = buildObjectCheck<ChatMessage>({
  role: buildEnumCheck(["system", "user", "assistant", "tool"]),
  content: checkString,
});

const checkCall = buildUnionCheck<Call>({
  model: {
    model: checkString,
    messages: buildListCheck(checkChatMessage),
    maxTokens: checkUnsigned,
  },
  service: {
    service: checkString,
    operation: checkString,
    body: checkString,
    idempotent: checkBoolean,
  },
});

const checkUsage = buildObjectCheck<Usage>({
  promptTokens: checkUnsigned,
  cachedTokens: checkUnsigned,
  completionTokens: checkUnsigned,
});

const checkCompleted = buildObjectCheck<CompletedOutcome>({
  status: checkString,
  attemptId: checkString,
  targetId: checkString,
  text: checkString,
  usage: checkUsage,
  chargeMicros: checkInteger,
  agreementRevision: checkUnsigned,
  digest: checkString,
});

const checkCharged = buildObjectCheck<FailedOutcome | UnknownOutcome>({
  status: checkString,
  code: checkUnsigned,
  detail: checkString,
  chargeMicros: checkInteger,
  agreementRevision: checkUnsigned,
});

const checkNotRun = buildObjectCheck<NotRunOutcome>({
  status: checkString,
  code: checkUnsigned,
  detail: checkString,
  retryAfterMs: buildOptionalCheck(checkNumber),
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

const checkHistoryItem = buildObjectCheck<HistoryItem>({
  callId: checkString,
  key: checkString,
  call: checkCall,
  outcome: checkOutcome,
  endedAtMs: checkNumber,
});

const checkProgramView = buildObjectCheck<ProgramView>({
  spec: checkSpec,
  state: buildEnumCheck(["open", "ended"]),
  spentMicros: checkInteger,
  reservedMicros: checkInteger,
  calls: checkUnsigned,
  running: checkUnsigned,
});

const checkFailure = buildObjectCheck<FailureView>({
  code: checkUnsigned,
  detail: checkString,
  retryAfterMs: buildOptionalCheck(checkNumber),
});

/** Checks a caller's request. */
export const checkCallerRequest = buildUnionCheck<CallerRequest>({
  "create_program": { spec: checkSpec },
  "run_call": {
    programId: checkString,
    key: checkString,
    call: checkCall,
    fromOffset: checkUnsigned,
    deliveredText: buildOptionalCheck(checkString),
  },
  "show_call": { programId: checkString, key: checkString },
  "show_program": { programId: checkString },
  "read_history": { programId: checkString },
  "end_program": { programId: checkString },
});

/** Checks a response to a caller. */
export const checkCallerResponse = buildUnionCheck<CallerResponse>({
  program: { program: checkProgramView },
  text: { callId: checkString, offset: checkUnsigned, text: checkString },
  outcome: { callId: checkString, outcome: checkOutcome },
  running: { callId: checkString },
  history: { programId: checkString, items: buildListCheck(checkHistoryItem) },
  refused: { failure: checkFailure },
});

const checkEntryBody = buildUnionCheck<EntryBody>({
  "program_created": { spec: checkSpec },
  "call_accepted": {
    programId: checkString,
    callId: checkString,
    key: checkString,
    requestDigest: checkString,
    call: checkCall,
    shared: buildOptionalCheck(
      buildObjectCheck<{ callId: string; count: number }>({
        callId: checkString,
        count: checkUnsigned,
      }),
    ),
    reservedMicros: checkInteger,
  },
  "attempt_started": {
    programId: checkString,
    callId: checkString,
    attemptId: checkString,
    targetId: checkString,
  },
  "attempt_lost": {
    programId: checkString,
    callId: checkString,
    attemptId: checkString,
    heldMicros: checkInteger,
    chargedMicros: checkInteger,
  },
  "call_ended": {
    programId: checkString,
    callId: checkString,
    outcome: checkOutcome,
    endedAtMs: checkNumber,
    serviceMs: checkNumber,
  },
  "program_ended": { programId: checkString, reason: checkString },
  "memory_released": { programId: checkString, targetId: checkString },
});

/** Checks a ledger entry. */
export const checkLedgerEntry = buildObjectCheck<LedgerEntry>({
  shard: checkUnsigned,
  epoch: checkUnsigned,
  sequence: checkUnsigned,
  body: checkEntryBody,
});

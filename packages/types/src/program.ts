/**
 * Programs, their calls and the outcomes that are reported to callers.
 */
import type {
  AttemptId,
  CallId,
  Micros,
  Partner,
  ProgramId,
  Revision,
  TargetId,
} from "./ids.ts";

/** How urgently the caller needs the work of a program. */
export const PROGRAM_CLASSES = ["short", "standard", "background"] as const;

/** The class of a program. `short` is for work that a person waits for. */
export type ProgramClass = typeof PROGRAM_CLASSES[number];

/** A program as specified by its creator. */
export interface ProgramSpec {
  readonly programId: ProgramId;
  readonly partner: Partner;
  /** The team whose budget is charged, if any. */
  readonly team?: string;
  /** The kind of agent. Policies use the observed behaviour of each kind. */
  readonly agent: string;
  readonly programClass: ProgramClass;
  readonly budgetMicros: Micros;
  /** The program that started this one as a sub-agent. */
  readonly parentId?: ProgramId;
  /** Whether calls of this program may run at the same time. */
  readonly parallel: boolean;
  /** Wall-clock deadline in milliseconds since the Unix epoch. */
  readonly deadlineAtMs?: number;
}

/** One message of a chat, in the form of the chat completions API. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant" | "tool";
  readonly content: string;
}

/** A call of a language model. It's safe to repeat, but costs money. */
export interface ModelCall {
  readonly kind: "model";
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
}

/** A call of a tool or plain service. */
export interface ServiceCall {
  readonly kind: "service";
  readonly service: string;
  readonly operation: string;
  readonly body: string;
  /** Whether a second run does no harm. */
  readonly idempotent: boolean;
}

/** A model call or service call of a program. */
export type Call = ModelCall | ServiceCall;

/** The tokens that a call used at its target. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** The final outcome of a call, as reported and stored. */
export type CallOutcome =
  | CompletedOutcome
  | FailedOutcome
  | NotRunOutcome
  | UnknownOutcome;

/** The call ran, and this is its complete response. */
export interface CompletedOutcome {
  readonly status: "completed";
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  readonly text: string;
  readonly usage: Usage;
  readonly chargeMicros: Micros;
  readonly agreementRevision: Revision;
  /** SHA-256 of `text` as UTF-8, in hexadecimal. */
  readonly digest: string;
}

/** The call ran, or may have run, and its target reported an error. */
export interface FailedOutcome {
  readonly status: "failed";
  readonly code: number;
  readonly detail: string;
  readonly chargeMicros: Micros;
  readonly agreementRevision: Revision;
}

/** No attempt of the call reached a target, and none will. */
export interface NotRunOutcome {
  readonly status: "not_run";
  readonly code: number;
  readonly detail: string;
  /** When a new attempt may succeed, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A non-idempotent attempt may have run; the call is never run again. */
export interface UnknownOutcome {
  readonly status: "unknown";
  readonly code: number;
  readonly detail: string;
  readonly chargeMicros: Micros;
  readonly agreementRevision: Revision;
}

/** An ended call in a program's history. */
export interface HistoryItem {
  readonly callId: CallId;
  readonly key: string;
  readonly call: Call;
  readonly outcome: CallOutcome;
  /** Wall clock, milliseconds since the Unix epoch. */
  readonly endedAtMs: number;
}

/** A program as shown to callers and operators. */
export interface ProgramView {
  readonly spec: ProgramSpec;
  readonly state: "open" | "ended";
  readonly spentMicros: Micros;
  readonly reservedMicros: Micros;
  readonly calls: number;
  readonly running: number;
}

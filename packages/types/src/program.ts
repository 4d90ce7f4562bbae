/**
 * Programs, their calls and the outcomes that callers see.
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

/** How urgent the work of a program is to its caller. */
export const PROGRAM_CLASSES = ["short", "standard", "background"] as const;

/** The class of a program. `short` work has a caller waiting at a counter. */
export type ProgramClass = typeof PROGRAM_CLASSES[number];

/** A program as its creator described it. */
export interface ProgramSpec {
  readonly programId: ProgramId;
  readonly partner: Partner;
  /** The team whose budget the program draws on, if any. */
  readonly team?: string;
  /** The kind of agent; its observed behaviour informs the policy. */
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

/** One message of a chat, as in the chat-completions form. */
export interface ChatMessage {
  readonly role: "system" | "user" | "assistant" | "tool";
  readonly content: string;
}

/** A call of a language model. Repeating it is harmless but costs money. */
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
  /** Whether a second run would harm the caller. */
  readonly idempotent: boolean;
}

/** What a program asks to be run. */
export type Call = ModelCall | ServiceCall;

/** What a call used at its target. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** How an ended call is reported, and kept for good. */
export type CallOutcome =
  | CompletedOutcome
  | FailedOutcome
  | NotRunOutcome
  | UnknownOutcome;

/** The call ran and its whole answer is here. */
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

/** The call ran, or may have, and its target reported an error. */
export interface FailedOutcome {
  readonly status: "failed";
  readonly code: number;
  readonly detail: string;
  readonly chargeMicros: Micros;
  readonly agreementRevision: Revision;
}

/** No attempt reached a target, and none ever will. */
export interface NotRunOutcome {
  readonly status: "not_run";
  readonly code: number;
  readonly detail: string;
  /** When a new try may succeed, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A non-idempotent attempt may have run; it's never run again. */
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

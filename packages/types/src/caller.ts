/**
 * Requests of callers and operators, and what they are answered.
 */
import type { CallId, ProgramId } from "./ids.ts";
import type {
  Call,
  CallOutcome,
  HistoryItem,
  ProgramSpec,
  ProgramView,
} from "./program.ts";

/** A failure that a caller is told about. `code` is in RESULT_CODES.md. */
export interface FailureView {
  readonly code: number;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** What a caller asks of a program's owner. */
export type CallerRequest =
  | { readonly kind: "create_program"; readonly spec: ProgramSpec }
  | {
    readonly kind: "run_call";
    readonly programId: ProgramId;
    /** The idempotency key; the entry makes one where the caller gave none. */
    readonly key: string;
    readonly call: Call;
    /** Characters of the answer that the caller already has. */
    readonly fromOffset: number;
    /** The text the caller already has, where its entry knows it. */
    readonly deliveredText?: string;
  }
  | {
    readonly kind: "show_call";
    readonly programId: ProgramId;
    readonly key: string;
  }
  | { readonly kind: "show_program"; readonly programId: ProgramId }
  | { readonly kind: "read_history"; readonly programId: ProgramId }
  | { readonly kind: "end_program"; readonly programId: ProgramId };

/** What a caller is answered. All but `text` end the request. */
export type CallerAnswer =
  | { readonly kind: "program"; readonly program: ProgramView }
  | {
    readonly kind: "text";
    readonly callId: CallId;
    /** Characters of the answer before this text. */
    readonly offset: number;
    readonly text: string;
  }
  | {
    readonly kind: "outcome";
    readonly callId: CallId;
    readonly outcome: CallOutcome;
  }
  | { readonly kind: "running"; readonly callId: CallId }
  | {
    readonly kind: "history";
    readonly programId: ProgramId;
    readonly items: readonly HistoryItem[];
  }
  | { readonly kind: "refused"; readonly failure: FailureView };

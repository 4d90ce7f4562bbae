/**
 * The entries of a shard's ledger. The state of a shard is the fold of them.
 */
import type {
  AttemptId,
  CallId,
  Epoch,
  Micros,
  ProgramId,
  ShardId,
  TargetId,
} from "./ids.ts";
import type { Call, CallOutcome, ProgramSpec } from "./program.ts";

/** What happened to a program. */
export type EntryBody =
  | ProgramCreated
  | CallAccepted
  | AttemptStarted
  | AttemptLost
  | CallEnded
  | ProgramEnded
  | MemoryReleased;

/** A program exists from here on. */
export interface ProgramCreated {
  readonly kind: "program_created";
  readonly spec: ProgramSpec;
}

/** A call was accepted and its worst-case cost reserved. */
export interface CallAccepted {
  readonly kind: "call_accepted";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly key: string;
  /** SHA-256 of the call, to refuse the same key for another call. */
  readonly requestDigest: string;
  /** The call without the messages that it shares with an earlier one. */
  readonly call: Call;
  /** The earlier call whose messages and answer come first, and how many. */
  readonly shared?: { readonly callId: CallId; readonly count: number };
  readonly reservedMicros: Micros;
}

/**
 * The intent to send one attempt to a target.
 *
 * For a non-idempotent call it's durable before anything is sent.
 */
export interface AttemptStarted {
  readonly kind: "attempt_started";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
}

/** An attempt of an idempotent call broke; its result is lost. */
export interface AttemptLost {
  readonly kind: "attempt_lost";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly attemptId: AttemptId;
  /** The most that it can have cost: what the budget counts. */
  readonly heldMicros: Micros;
  /** What was seen of it: what the partner is charged. */
  readonly chargedMicros: Micros;
}

/** A call ended with an outcome that never changes. */
export interface CallEnded {
  readonly kind: "call_ended";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly outcome: CallOutcome;
  readonly endedAtMs: number;
  /** Time that targets spent on the call, in milliseconds. */
  readonly serviceMs: number;
}

/** A program takes no more calls. */
export interface ProgramEnded {
  readonly kind: "program_ended";
  readonly programId: ProgramId;
  readonly reason: "caller" | "operator" | "budget" | "deadline" | "loop";
}

/** A target confirmed that it holds nothing more for an ended program. */
export interface MemoryReleased {
  readonly kind: "memory_released";
  readonly programId: ProgramId;
  readonly targetId: TargetId;
}

/** An entry with its place in the shard's ledger. */
export interface LedgerEntry {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** Place in the shard's ledger, from 1, without gaps. */
  readonly sequence: number;
  readonly body: EntryBody;
}

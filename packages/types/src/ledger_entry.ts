/**
 * The entries of a shard's ledger. The state of a shard is computed by applying
 * its entries in order.
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

/** An event of a program. */
export type EntryBody =
  | ProgramCreated
  | CallAccepted
  | AttemptStarted
  | AttemptLost
  | CallEnded
  | ProgramEnded
  | MemoryReleased;

/** A program was created. */
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
  /** SHA-256 of the call; a different call with the same key is refused. */
  readonly requestDigest: string;
  /** The call without the messages that it shares with an earlier call. */
  readonly call: Call;
  /** The earlier call that contains the shared messages, and their number. */
  readonly shared?: { readonly callId: CallId; readonly count: number };
  readonly reservedMicros: Micros;
}

/**
 * The intent to send one attempt to a target.
 *
 * For a non-idempotent call the entry is durable before the attempt is sent.
 */
export interface AttemptStarted {
  readonly kind: "attempt_started";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
}

/** An attempt of an idempotent call failed, and its result is lost. */
export interface AttemptLost {
  readonly kind: "attempt_lost";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly attemptId: AttemptId;
  /** The upper bound of the attempt's cost, which counts against the budget. */
  readonly heldMicros: Micros;
  /** The cost of the observed part, which the partner is charged. */
  readonly chargedMicros: Micros;
}

/** A call ended. Its outcome is final. */
export interface CallEnded {
  readonly kind: "call_ended";
  readonly programId: ProgramId;
  readonly callId: CallId;
  readonly outcome: CallOutcome;
  readonly endedAtMs: number;
  /** Time that targets spent on the call, in milliseconds. */
  readonly serviceMs: number;
}

/** A program ended and accepts no more calls. */
export interface ProgramEnded {
  readonly kind: "program_ended";
  readonly programId: ProgramId;
  readonly reason: "caller" | "operator" | "budget" | "deadline" | "loop";
}

/** A target confirmed that it holds no more memory for an ended program. */
export interface MemoryReleased {
  readonly kind: "memory_released";
  readonly programId: ProgramId;
  readonly targetId: TargetId;
}

/** An entry with its position in the shard's ledger. */
export interface LedgerEntry {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  /** Position in the shard's ledger, from 1, without gaps. */
  readonly sequence: number;
  readonly body: EntryBody;
}

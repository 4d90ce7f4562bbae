/**
 * The volatile state of a call that has no outcome yet.
 */
import type {
  AttemptId,
  CallOutcome,
  ProgramSpec,
  TargetId,
  VmId,
} from "@camphorlock/types";
import type { HeldReservation } from "./ports.ts";
import type { CallState } from "./program_state.ts";

/**
 * The phase of a call.
 *
 * `queued`: waits for its turn in the program or for another attempt.
 * `waiting_slot`: a slot was requested from a dispatcher.
 * `intending`: the intent was appended, the attempt isn't sent.
 * `running`: the attempt was sent.
 * `ending`: the outcome isn't durable.
 */
export type CallPhase =
  | "queued"
  | "waiting_slot"
  | "intending"
  | "running"
  | "ending";

/** A call without a durable outcome, and the owner's state of it. */
export interface RunningCall {
  readonly spec: ProgramSpec;
  readonly state: CallState;
  phase: CallPhase;
  /** Start of the placement by the monotonic clock; infinite if not placing. */
  placingSinceMs: number;
  /** Earliest time of the next placement, by the monotonic clock. */
  notBeforeMs: number;
  /** The reservation of shared budgets, if this owner made it. */
  readonly shared?: HeldReservation;
  /** The text received so far. */
  text: string;
  attempt?: RunningAttempt;
  /** An outcome that the ledger refused and that is to be appended again. */
  pendingOutcome?: CallOutcome;
  /** Attempts created under this epoch, sent or not. */
  attemptsCreated: number;
  /** Attempts sent under this epoch. */
  attemptsSent: number;
  /** Whether an attempt may have reached a target; rules out `not_run`. */
  mayHaveRun: boolean;
  excluded: TargetId[];
}

/** The current attempt of a call. */
export interface RunningAttempt {
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  readonly dispatcher: VmId;
  /** Whether an earlier owner sent it; its usage so far is unknown then. */
  readonly inherited: boolean;
  /** Time of the last slot request to the dispatcher. */
  requestedAtMs: number;
  /** Tokens of the prompt, and those that the target has cached. */
  readonly promptTokens: number;
  readonly cachedTokens: number;
  sentAtMs: number;
  firstTokenMs: number;
  /** All tokens received, and those not yet reported to the dispatcher. */
  tokens: number;
  unreportedTokens: number;
  renewedAtMs: number;
}

/** Creates the state of a call that was accepted or recovered. */
export function createRunningCall(
  spec: ProgramSpec,
  state: CallState,
  options: {
    readonly phase: CallPhase;
    readonly nowMs: number;
    readonly shared?: HeldReservation;
  },
): RunningCall {
  return {
    spec,
    state,
    phase: options.phase,
    ...(options.shared === undefined ? {} : { shared: options.shared }),
    placingSinceMs: Infinity,
    notBeforeMs: options.nowMs,
    text: "",
    attemptsCreated: 0,
    attemptsSent: 0,
    mayHaveRun: false,
    excluded: [],
  };
}

/** Whether the call may safely be run more than once. */
export function isIdempotent(running: RunningCall): boolean {
  const { call } = running.state;
  return call.kind === "model" || call.idempotent;
}

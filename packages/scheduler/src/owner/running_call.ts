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
 * Where a call stands.
 *
 * `queued`: it waits for its turn in the program or for a new try. `waiting_slot`: a dispatcher was asked.
 * `intending`: the intent of the attempt isn't durable. `running`: the attempt
 * was sent. `ending`: the outcome isn't durable.
 */
export type CallPhase =
  | "queued"
  | "waiting_slot"
  | "intending"
  | "running"
  | "ending";

/** A call without an outcome, as its owner drives it. */
export interface RunningCall {
  readonly spec: ProgramSpec;
  readonly state: CallState;
  phase: CallPhase;
  /** Since when a target is sought, infinite when none is, monotonic clock. */
  placingSinceMs: number;
  /** Not placed before this moment, by the monotonic clock. */
  notBeforeMs: number;
  /** What the call holds of shared budgets, if this owner reserved it. */
  readonly shared?: HeldReservation;
  /** The text of the answer so far. */
  text: string;
  attempt?: RunningAttempt;
  /** The outcome that the ledger had no space for yet. */
  pendingOutcome?: CallOutcome;
  /** Attempts begun under this epoch. */
  attemptsBegun: number;
  /** Attempts sent under this epoch. */
  attemptsSent: number;
  /** Whether an attempt may have reached a target, so that `not_run` is out. */
  mayHaveRun: boolean;
  excluded: TargetId[];
}

/** The present attempt of a call. */
export interface RunningAttempt {
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  readonly dispatcher: VmId;
  /** Whether an earlier owner sent it, so that its use isn't known. */
  readonly inherited: boolean;
  /** When the dispatcher was asked last. */
  askedAtMs: number;
  /** Tokens of the prompt, and those that the target has cached. */
  readonly promptTokens: number;
  readonly cachedTokens: number;
  sentAtMs: number;
  firstTokenMs: number;
  /** Tokens received in all, and those not reported to the dispatcher. */
  tokens: number;
  unreportedTokens: number;
  renewedAtMs: number;
}

/** Creates the record of a call that begins or is taken over. */
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
    attemptsBegun: 0,
    attemptsSent: 0,
    mayHaveRun: false,
    excluded: [],
  };
}

/** Whether a second run of the call can't harm its caller. */
export function isIdempotent(running: RunningCall): boolean {
  const { call } = running.state;
  return call.kind === "model" || call.idempotent;
}

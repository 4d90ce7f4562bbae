/**
 * The state of one program and its calls.
 */
import type {
  AttemptId,
  Call,
  CallId,
  CallOutcome,
  Micros,
  ProgramEnded,
  ProgramSpec,
  TargetId,
} from "@camphorlock/types";

/** An attempt whose intent is in the ledger. */
export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
}

/** One call of a program. */
export interface CallState {
  readonly callId: CallId;
  readonly key: string;
  readonly requestDigest: string;
  readonly call: Call;
  readonly reservedMicros: Micros;
  /** Upper bound of the cost of lost attempts, counted by the budget. */
  lostHeldMicros: Micros;
  /** Cost of the observed part of lost attempts, charged to the partner. */
  lostChargedMicros: Micros;
  readonly attempts: AttemptRecord[];
  outcome?: CallOutcome;
  /** Wall-clock time of the end, in milliseconds since the Unix epoch. */
  endedAtMs: number;
  /** Time that targets spent on the call, in milliseconds. */
  serviceMs: number;
}

/** One program. Calls keep the order in which they were accepted. */
export interface ProgramState {
  readonly spec: ProgramSpec;
  readonly callsById: Map<CallId, CallState>;
  /** The latest call under each idempotency key. */
  readonly callsByKey: Map<string, CallState>;
  /** Calls without an outcome, in the order in which they were accepted. */
  readonly openCalls: Set<CallState>;
  /** Engines that may hold cache memory for this program. */
  readonly heldBy: Set<TargetId>;
  /** Sub-programs, which spend from this program's budget. */
  readonly children: Set<ProgramState>;
  /** Amount of the budget spent by this program's own ended calls. */
  spentMicros: Micros;
  /** Time that targets spent on this program and its sub-programs, in ms. */
  attainedMs: number;
  readonly parent?: ProgramState;
  /** The model call that was accepted last. */
  latestModelCall?: CallState;
  endReason?: ProgramEnded["reason"];
}

/** Creates a program without calls. */
export function createProgramState(
  spec: ProgramSpec,
  parent?: ProgramState,
): ProgramState {
  const base = {
    spec,
    callsById: new Map<CallId, CallState>(),
    callsByKey: new Map<string, CallState>(),
    openCalls: new Set<CallState>(),
    heldBy: new Set<TargetId>(),
    children: new Set<ProgramState>(),
    spentMicros: 0,
    attainedMs: 0,
  };
  return parent === undefined ? base : { ...base, parent };
}

/** Counts the calls without an outcome. */
export function countOpenCalls(program: ProgramState): number {
  return program.openCalls.size;
}

/** Sums what open calls and sub-programs hold of the budget, in micros. */
export function computeReserved(program: ProgramState): Micros {
  let sum = 0;
  for (const call of program.openCalls) {
    sum += call.reservedMicros + call.lostHeldMicros;
  }
  for (const child of program.children) sum += computeHeldByChild(child);
  return sum;
}

/** An open sub-program holds its full budget; an ended one, what it used. */
function computeHeldByChild(child: ProgramState): Micros {
  if (child.endReason === undefined) return child.spec.budgetMicros;
  return child.spentMicros + computeReserved(child);
}

/** Computes the budget that the program may still reserve, in micros. */
export function computeRest(program: ProgramState): Micros {
  const committed = program.spentMicros + computeReserved(program);
  return program.spec.budgetMicros - committed;
}

/**
 * The state of a shard: the fold of its ledger's entries.
 *
 * The owner applies an entry when it appends it. A new owner applies the same
 * entries when it recovers the shard, and obtains the same state.
 */
import {
  type AttemptLost,
  type AttemptStarted,
  type CallAccepted,
  type CallEnded,
  checkNever,
  type EntryBody,
  type HistoryItem,
  type MemoryReleased,
  type ProgramCreated,
  type ProgramEnded,
  type ProgramId,
  type ProgramView,
} from "@camphorlock/types";
import {
  type CallState,
  computeReserved,
  countOpenCalls,
  createProgramState,
  type ProgramState,
} from "./program_state.ts";
import { mergeStoredCall } from "./shared_messages.ts";

/** All programs of one shard. */
export class ShardState {
  readonly programs = new Map<ProgramId, ProgramState>();

  /** Applies one entry. An entry about an unknown program has no effect. */
  apply(body: EntryBody): void {
    switch (body.kind) {
      case "program_created":
        return this.#applyCreated(body);
      case "call_accepted":
        return this.#applyAccepted(body);
      case "attempt_started":
        return this.#applyAttempt(body);
      case "attempt_lost":
        return this.#applyLost(body);
      case "call_ended":
        return this.#applyCallEnded(body);
      case "program_ended":
        return this.#applyProgramEnded(body);
      case "memory_released":
        return this.#applyReleased(body);
      default:
        return checkNever(body);
    }
  }

  /** Finds a call by its id. */
  findCall(programId: ProgramId, callId: string): CallState | undefined {
    return this.programs.get(programId)?.callsById.get(callId);
  }

  #applyCreated(body: ProgramCreated): void {
    const { spec } = body;
    if (this.programs.has(spec.programId)) return;
    const parent = spec.parentId === undefined
      ? undefined
      : this.programs.get(spec.parentId);
    const program = createProgramState(spec, parent);
    parent?.children.add(program);
    this.programs.set(spec.programId, program);
  }

  #applyAccepted(body: CallAccepted): void {
    const program = this.programs.get(body.programId);
    if (program === undefined) return;
    const call: CallState = {
      callId: body.callId,
      key: body.key,
      requestDigest: body.requestDigest,
      call: mergeStoredCall(program, body),
      reservedMicros: body.reservedMicros,
      lostHeldMicros: 0,
      lostChargedMicros: 0,
      attempts: [],
      endedAtMs: 0,
      serviceMs: 0,
    };
    program.callsById.set(body.callId, call);
    program.callsByKey.set(body.key, call);
    program.openCalls.add(call);
    if (call.call.kind === "model") program.latestModelCall = call;
  }

  #applyAttempt(body: AttemptStarted): void {
    const program = this.programs.get(body.programId);
    const call = program?.callsById.get(body.callId);
    if (program === undefined || call === undefined) return;
    const { attemptId, targetId } = body;
    call.attempts.push({ attemptId, targetId });
    if (call.call.kind === "model") program.heldBy.add(targetId);
  }

  #applyLost(body: AttemptLost): void {
    const call = this.findCall(body.programId, body.callId);
    if (call === undefined) return;
    call.lostHeldMicros += body.heldMicros;
    call.lostChargedMicros += body.chargedMicros;
  }

  #applyCallEnded(body: CallEnded): void {
    const program = this.programs.get(body.programId);
    const call = program?.callsById.get(body.callId);
    if (program === undefined || call === undefined) return;
    if (call.outcome !== undefined) return;
    call.outcome = body.outcome;
    call.endedAtMs = body.endedAtMs;
    call.serviceMs = body.serviceMs;
    program.openCalls.delete(call);
    addServiceTime(program, body.serviceMs);
    program.spentMicros += call.lostHeldMicros - call.lostChargedMicros;
    if (body.outcome.status === "not_run") return;
    program.spentMicros += body.outcome.chargeMicros;
  }

  #applyProgramEnded(body: ProgramEnded): void {
    const program = this.programs.get(body.programId);
    if (program === undefined) return;
    program.endReason ??= body.reason;
  }

  #applyReleased(body: MemoryReleased): void {
    this.programs.get(body.programId)?.heldBy.delete(body.targetId);
  }
}

/** Adds service time to a program and its ancestors. */
function addServiceTime(program: ProgramState, serviceMs: number): void {
  let current: ProgramState | undefined = program;
  while (current !== undefined) {
    current.attainedMs += serviceMs;
    current = current.parent;
  }
}

/** Builds the view of a program for callers and operators. */
export function buildProgramView(program: ProgramState): ProgramView {
  return {
    spec: program.spec,
    state: program.endReason === undefined ? "open" : "ended",
    spentMicros: program.spentMicros,
    reservedMicros: computeReserved(program),
    calls: program.callsById.size,
    running: countOpenCalls(program),
  };
}

/** Builds the history of a program: its ended calls in order of acceptance. */
export function buildHistory(program: ProgramState): HistoryItem[] {
  const items: HistoryItem[] = [];
  for (const call of program.callsById.values()) {
    if (call.outcome === undefined) continue;
    const { callId, key, outcome, endedAtMs } = call;
    items.push({ callId, key, call: call.call, outcome, endedAtMs });
  }
  return items;
}

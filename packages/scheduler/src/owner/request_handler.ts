/**
 * Handles the requests of callers for the programs of one shard.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  type CallerRequest,
  type CallerResponse,
  checkNever,
  type ProgramEnded,
  type ProgramId,
  type ProgramSpec,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { checkAcceptable } from "./check_acceptable.ts";
import { BudgetWaiters, type RunCallRequest } from "./budget_waiters.ts";
import type { CallRunner } from "./call_runner.ts";
import { buildCallId, computeCallDigest } from "./digest.ts";
import type { MemoryReleaser } from "./memory_releaser.ts";
import type { OwnerContext, RequestOrigin } from "./owner_context.ts";
import { computeWorstCase } from "../budget/mod.ts";
import {
  type CallState,
  computeRest,
  type ProgramState,
} from "./program_state.ts";
import { buildStoredCall } from "./shared_messages.ts";
import { buildHistory, buildProgramView } from "./shard_state.ts";
import type { HeldReservation } from "./ports.ts";
import type { Waiters } from "./waiters.ts";

type ShowCallRequest = Extract<CallerRequest, { kind: "show_call" }>;

/** The components that requests act on. */
export interface RequestDependencies {
  readonly waiters: Waiters;
  readonly runner: CallRunner;
  readonly releaser: MemoryReleaser;
}

/** Responds to requests, or adds them to the component that responds. */
export class RequestHandler {
  readonly #context: OwnerContext;
  readonly #dependencies: RequestDependencies;
  readonly #waiting: BudgetWaiters;

  constructor(context: OwnerContext, dependencies: RequestDependencies) {
    this.#context = context;
    this.#dependencies = dependencies;
    this.#waiting = new BudgetWaiters(context);
  }

  /** Handles one request. */
  handle(origin: RequestOrigin, request: CallerRequest): void {
    switch (request.kind) {
      case "create_program":
        return this.#createProgram(origin, request.spec);
      case "run_call":
        return this.#runCall(origin, request);
      case "show_call":
        return this.#sendCallState(origin, request);
      case "show_program":
        return this.#sendLatest(origin, request.programId, buildViewResponse);
      case "read_history":
        return this.#sendLatest(
          origin,
          request.programId,
          buildHistoryResponse,
        );
      case "end_program":
        return this.#endProgram(origin, request.programId);
      default:
        return checkNever(request);
    }
  }

  /** Retries the calls that wait for a portion of a shared budget. */
  handleTick(): void {
    for (const { origin, request } of this.#waiting.removeAll()) {
      this.#runCall(origin, request);
    }
  }

  /** Ends a program and its sub-programs. */
  endProgram(program: ProgramState, reason: ProgramEnded["reason"]): void {
    for (const child of program.children) this.endProgram(child, reason);
    if (program.endReason !== undefined) return;
    const { programId } = program.spec;
    const body = { kind: "program_ended", programId, reason } as const;
    if (this.#context.append([body]).isErr()) return;
    this.#dependencies.runner.stopProgram(programId);
    this.#context.options.placer.recordProgramEnded(programId);
    this.#dependencies.releaser.add(program);
  }

  #createProgram(origin: RequestOrigin, spec: ProgramSpec): void {
    const existing = this.#context.state.programs.get(spec.programId);
    if (existing !== undefined) {
      return this.#sendWhenDurable(origin, existing, buildViewResponse);
    }
    const refusal = this.#checkParent(spec);
    if (refusal !== undefined) {
      return this.#context.refuseConfirmed(origin, refusal, "parent program");
    }
    if (spec.parentId === undefined) {
      const admitted = this.#context.options.placer.checkAdmission(spec);
      if (admitted.isErr()) return this.#context.refuse(origin, admitted.error);
    }
    const appended = this.#context.append([{ kind: "program_created", spec }]);
    if (appended.isErr()) return this.#context.refuse(origin, appended.error);
    const program = this.#context.state.programs.get(spec.programId);
    if (program !== undefined) {
      this.#sendWhenDurable(origin, program, buildViewResponse);
    }
  }

  #checkParent(
    spec: ProgramSpec,
  ): "ProgramUnknown" | "ProgramEnded" | "BudgetExhausted" | undefined {
    if (spec.parentId === undefined) return undefined;
    const parent = this.#context.state.programs.get(spec.parentId);
    if (parent === undefined) return "ProgramUnknown";
    if (parent.endReason !== undefined) return "ProgramEnded";
    if (computeRest(parent) < spec.budgetMicros) return "BudgetExhausted";
    return undefined;
  }

  #runCall(origin: RequestOrigin, request: RunCallRequest): void {
    const program = this.#context.state.programs.get(request.programId);
    if (program === undefined) {
      const detail = `program ${request.programId}`;
      return this.#context.refuseConfirmed(origin, "ProgramUnknown", detail);
    }
    const digest = computeCallDigest(request.call);
    const earlier = program.callsByKey.get(request.key);
    if (earlier === undefined || earlier.outcome?.status === "not_run") {
      return this.#openCall(origin, program, { request, digest });
    }
    if (earlier.requestDigest !== digest) {
      const detail = `key ${request.key}`;
      return this.#context.refuse(origin, createFailure("KeyReused", detail));
    }
    this.#subscribeToCall(origin, earlier, request.fromOffset);
  }

  #openCall(
    origin: RequestOrigin,
    program: ProgramState,
    incoming: { readonly request: RunCallRequest; readonly digest: string },
  ): void {
    const { request } = incoming;
    const { value } = this.#context.options.getConfiguration();
    const reservedMicros = computeWorstCase(value, request.call);
    const refusal = checkAcceptable(this.#context, program, reservedMicros);
    if (refusal !== undefined) {
      const detail = `program ${request.programId}`;
      return this.#context.refuseConfirmed(origin, refusal, detail);
    }
    const { budgets } = this.#context.options;
    const { nowMs } = this.#context;
    const shared = budgets.reserve(program.spec, reservedMicros, nowMs);
    if (shared.kind === "waiting") return this.#waiting.add(origin, request);
    if (shared.kind === "refused") {
      const { failure } = shared;
      return this.#context.confirm(() => this.#context.refuse(origin, failure));
    }
    const accepted = { ...incoming, reservedMicros, shared };
    const state = this.#appendAccepted(program, accepted);
    if (state.isErr()) {
      budgets.settle(shared, 0);
      const failure = state.error;
      return this.#context.confirm(() => this.#context.refuse(origin, failure));
    }
    this.#dependencies.waiters.add(
      state.value.callId,
      origin,
      request.fromOffset,
    );
  }

  #appendAccepted(
    program: ProgramState,
    accepted: {
      readonly request: RunCallRequest;
      readonly digest: string;
      readonly reservedMicros: number;
      readonly shared: HeldReservation;
    },
  ): Result<CallState, Failure> {
    const { programId, key, call } = accepted.request;
    const { reservedMicros, digest } = accepted;
    const run = program.callsById.size + 1;
    const callId = buildCallId(programId, key, run);
    const stored = buildStoredCall(program, call);
    const appended = this.#context.append([{
      kind: "call_accepted",
      programId,
      callId,
      key,
      requestDigest: digest,
      reservedMicros,
      ...stored,
    }]);
    const state = program.callsById.get(callId);
    if (appended.isErr()) return err(appended.error);
    if (state === undefined) return err(createFailure("Internal", callId));
    const { shared } = accepted;
    const running = this.#dependencies.runner.addAccepted(
      program,
      state,
      shared,
    );
    this.#context.log("CallAccepted", { programId, callId, reservedMicros });
    this.#dependencies.runner.startNext(running.spec.programId);
    return ok(state);
  }

  #subscribeToCall(
    origin: RequestOrigin,
    call: CallState,
    fromOffset: number,
  ): void {
    const { callId } = call;
    const running = this.#dependencies.runner.find(callId);
    if (running === undefined) return this.#sendOutcome(origin, call);
    this.#dependencies.waiters.add(callId, origin, fromOffset);
    this.#context.sendResponse(origin, { kind: "running", callId });
    this.#dependencies.waiters.sendText(callId, running.text);
  }

  /** Sends without a confirmation, since a stored outcome never changes. */
  #sendOutcome(origin: RequestOrigin, call: CallState): void {
    const { callId, outcome } = call;
    if (outcome === undefined) return;
    this.#context.sendResponse(origin, { kind: "outcome", callId, outcome });
  }

  #sendCallState(origin: RequestOrigin, request: ShowCallRequest): void {
    const program = this.#context.state.programs.get(request.programId);
    const call = program?.callsByKey.get(request.key);
    if (call === undefined) {
      const detail = `key ${request.key}`;
      return this.#context.refuseConfirmed(origin, "CallUnknown", detail);
    }
    const { callId } = call;
    const running = this.#dependencies.runner.find(callId);
    if (running === undefined) return this.#sendOutcome(origin, call);
    this.#context.sendResponse(origin, { kind: "running", callId });
  }

  #endProgram(origin: RequestOrigin, programId: ProgramId): void {
    const program = this.#context.state.programs.get(programId);
    if (program === undefined) {
      const detail = `program ${programId}`;
      return this.#context.refuseConfirmed(origin, "ProgramUnknown", detail);
    }
    this.endProgram(program, "caller");
    this.#sendWhenDurable(origin, program, buildViewResponse);
  }

  /** Sends the latest state, after a confirmation of the epoch. */
  #sendLatest(
    origin: RequestOrigin,
    programId: ProgramId,
    build: ResponseBuilder,
  ): void {
    this.#context.confirm(() => {
      const program = this.#context.state.programs.get(programId);
      if (program !== undefined) {
        return this.#context.sendResponse(origin, build(program));
      }
      const detail = `program ${programId}`;
      this.#context.refuse(origin, createFailure("ProgramUnknown", detail));
    });
  }

  /** Responds once all appended entries are durable and the epoch confirmed. */
  #sendWhenDurable(
    origin: RequestOrigin,
    program: ProgramState,
    build: ResponseBuilder,
  ): void {
    this.#context.confirm(() =>
      this.#context.sendResponse(origin, build(program))
    );
  }
}

type ResponseBuilder = (program: ProgramState) => CallerResponse;

function buildViewResponse(program: ProgramState): CallerResponse {
  return { kind: "program", program: buildProgramView(program) };
}

function buildHistoryResponse(program: ProgramState): CallerResponse {
  const { programId } = program.spec;
  return { kind: "history", programId, items: buildHistory(program) };
}

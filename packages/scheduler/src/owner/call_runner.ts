/**
 * Drives accepted calls to their outcomes: turn, placement, slot, durable
 * intent, start order, and the durable outcome.
 */
import { type Failure, RESULT_CODES } from "@camphorlock/codes";
import {
  type AttemptEvent,
  type AttemptId,
  type CallId,
  checkNever,
  type DispatchMessage,
  type ProgramId,
} from "@camphorlock/types";
import { AttemptCloser } from "./attempt_closer.ts";
import { AttemptStarter } from "./attempt_starter.ts";
import { CallEnder } from "./call_ender.ts";
import type { OwnerContext } from "./owner_context.ts";
import type { HeldReservation } from "./ports.ts";
import type { CallState, ProgramState } from "./program_state.ts";
import { createRunningCall, type RunningCall } from "./running_call.ts";
import type { Waiters } from "./waiters.ts";

type SlotRefused = Extract<DispatchMessage, { kind: "slot_refused" }>;

/** Runs the calls of a shard that have no durable outcome. */
export class CallRunner {
  readonly #context: OwnerContext;
  readonly #waiters: Waiters;
  readonly #calls = new Map<CallId, RunningCall>();
  readonly #byAttempt = new Map<AttemptId, RunningCall>();
  readonly #byProgram = new Map<ProgramId, Set<RunningCall>>();
  readonly #starter: AttemptStarter;
  readonly #ender: CallEnder;
  #pausedUntilMs = -Infinity;

  constructor(context: OwnerContext, waiters: Waiters) {
    this.#context = context;
    this.#waiters = waiters;
    this.#starter = new AttemptStarter(context, this.#byAttempt, {
      handleTargetClosed: (running) =>
        this.#ender.handleSlotRefused(running, 0),
    });
    const closer = new AttemptCloser(context, this.#byAttempt);
    this.#ender = new CallEnder(context, closer, {
      requeue: (running) => this.startNext(running.spec.programId),
      finish: (running) => this.#closeCall(running),
    });
  }

  /** Finds a call that has no durable outcome yet. */
  find(callId: CallId): RunningCall | undefined {
    return this.#calls.get(callId);
  }

  /**
   * Adds a call whose acceptance was just appended.
   *
   * The call may request a slot at once: no attempt is sent before its intent
   * is durable, and the acceptance precedes the intent in the ledger.
   */
  addAccepted(
    program: ProgramState,
    state: CallState,
    shared: HeldReservation,
  ): RunningCall {
    return this.#add(program, state, { phase: "queued", shared });
  }

  /**
   * Adds a call that an earlier owner left without an outcome.
   *
   * `unsent` holds the intents that an earlier owner in this process didn't
   * send; that owner can no longer send them.
   */
  addRecovered(
    program: ProgramState,
    state: CallState,
    unsent: ReadonlySet<AttemptId>,
  ): void {
    const running = this.#add(program, state, { phase: "queued" });
    const sent = state.attempts
      .filter(({ attemptId }) => !unsent.has(attemptId));
    if (sent.length === 0) return;
    this.#starter.resume(running);
  }

  /** Starts the program's queued calls whose turn it is. */
  startNext(programId: ProgramId): void {
    const calls = this.#byProgram.get(programId);
    if (calls === undefined) return;
    for (const running of [...calls]) {
      if (running.phase === "queued") this.#start(running);
      if (!running.spec.parallel) return;
    }
  }

  /** Starts no attempt until `untilMs`; attempts already sent continue. */
  pauseStarts(untilMs: number): void {
    this.#pausedUntilMs = Math.max(this.#pausedUntilMs, untilMs);
  }

  /**
   * Counts the attempts whose result only this node can receive: a new owner
   * can resume an engine's stream, but not a service's response.
   */
  countServiceAttempts(): number {
    return [...this.#calls.values()].filter((running) => {
      const { call } = running.state;
      const isSent = running.phase === "running" ||
        running.phase === "intending" || running.phase === "ending";
      return call.kind === "service" && isSent;
    }).length;
  }

  /** Ends the calls of a program that was ended. */
  stopProgram(programId: ProgramId): void {
    for (const running of [...this.#byProgram.get(programId) ?? []]) {
      this.#ender.stop(running);
    }
  }

  /** Lists the attempts that have an intent but aren't sent yet. */
  listUnsent(): AttemptId[] {
    return [...this.#calls.values()].flatMap(({ phase, attempt }) =>
      phase === "intending" && attempt !== undefined ? [attempt.attemptId] : []
    );
  }

  /** Handles a dispatcher's response to a slot request. */
  handleSlot(message: DispatchMessage): void {
    switch (message.kind) {
      case "slot_granted":
        return this.#handleGranted(message.attemptId);
      case "slot_refused":
        return this.#handleRefused(message);
      case "slot_request":
      case "slot_renewed":
      case "slot_released":
      case "target_loads":
        return;
      default:
        return checkNever(message);
    }
  }

  /** Handles an event of an attempt, as observed by the node. */
  handleAttempt(attemptId: AttemptId, event: AttemptEvent): void {
    const running = this.#byAttempt.get(attemptId);
    if (running === undefined || running.phase !== "running") return;
    if (event.kind === "text") return this.#handleText(running, event);
    this.#ender.handle(running, event);
  }

  /** Renews slots, times out slot requests and starts retries. */
  handleTick(): void {
    for (const running of [...this.#calls.values()]) this.#check(running);
  }

  get #isPaused(): boolean {
    return this.#context.nowMs < this.#pausedUntilMs;
  }

  #add(
    program: ProgramState,
    state: CallState,
    options: {
      readonly phase: "queued";
      readonly shared?: HeldReservation;
    },
  ): RunningCall {
    const { nowMs } = this.#context;
    const running = createRunningCall(program.spec, state, {
      ...options,
      nowMs,
    });
    const { programId } = program.spec;
    this.#calls.set(state.callId, running);
    const siblings = this.#byProgram.get(programId) ?? new Set();
    siblings.add(running);
    this.#byProgram.set(programId, siblings);
    return running;
  }

  #start(running: RunningCall): void {
    const { nowMs } = this.#context;
    if (this.#isPaused || running.notBeforeMs > nowMs) return;
    if (!Number.isFinite(running.placingSinceMs)) {
      running.placingSinceMs = nowMs;
    }
    const started = this.#starter.start(running);
    if (started.isErr()) this.#handlePlacementFailure(running, started.error);
  }

  #handlePlacementFailure(running: RunningCall, failure: Failure): void {
    const { limits } = this.#context.options;
    const waitedMs = this.#context.nowMs - running.placingSinceMs;
    const hasNoTarget = failure.code === RESULT_CODES.NoTarget.code;
    const limitMs = hasNoTarget
      ? limits.noTargetTimeoutMs
      : limits.placeTimeoutMs;
    if (waitedMs >= limitMs) return this.#ender.endNotRun(running, failure);
    running.phase = "queued";
    running.notBeforeMs = this.#context.nowMs + limits.renewPeriodMs;
  }

  #handleGranted(attemptId: AttemptId): void {
    const running = this.#byAttempt.get(attemptId);
    if (running === undefined) return;
    if (running.phase !== "waiting_slot") return;
    if (this.#isPaused) return this.#ender.handleSlotRefused(running, 0);
    const intended = this.#starter.recordIntent(running);
    if (intended.isErr()) this.#ender.handleSlotRefused(running, 0);
  }

  #handleRefused(message: SlotRefused): void {
    const running = this.#byAttempt.get(message.attemptId);
    if (running === undefined) return;
    if (running.phase !== "waiting_slot") return;
    const { retryAfterMs, reason } = message;
    if (reason === "queue_full" && this.#isNewProgram(running)) {
      return this.#ender.endOverloaded(running, retryAfterMs);
    }
    this.#ender.handleSlotRefused(running, retryAfterMs);
  }

  /** Whether a top-level program hasn't run yet: a refusal costs little. */
  #isNewProgram(running: RunningCall): boolean {
    const { programId } = running.spec;
    const program = this.#context.state.programs.get(programId);
    return program !== undefined && program.attainedMs === 0 &&
      program.parent === undefined;
  }

  #handleText(
    running: RunningCall,
    event: Extract<AttemptEvent, { kind: "text" }>,
  ): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    if (attempt.tokens === 0) {
      attempt.firstTokenMs = this.#context.nowMs - attempt.sentAtMs;
      // Renews at the next tick, not a period later, to free prefill room.
      attempt.renewedAtMs = -Infinity;
    }
    attempt.tokens += event.tokens;
    attempt.unreportedTokens += event.tokens;
    const through = event.offset + event.text.length;
    if (event.offset > running.text.length) return;
    if (through <= running.text.length) return;
    running.text = running.text.slice(0, event.offset) + event.text;
    this.#waiters.sendText(running.state.callId, running.text);
  }

  #check(running: RunningCall): void {
    const { nowMs, options } = this.#context;
    switch (running.phase) {
      case "queued":
        return this.startNext(running.spec.programId);
      case "waiting_slot": {
        const requestedAtMs = running.attempt?.requestedAtMs ?? nowMs;
        if (nowMs - requestedAtMs < options.limits.slotTimeoutMs) return;
        return this.#handleSlotTimeout(running);
      }
      case "intending":
      case "running":
        return this.#starter.renew(running);
      case "ending":
        return this.#ender.endPending(running);
      default:
        return checkNever(running.phase);
    }
  }

  /** Repeats the slot request, unless the dispatcher changed or time is up. */
  #handleSlotTimeout(running: RunningCall): void {
    const { nowMs, options } = this.#context;
    const { attempt, placingSinceMs } = running;
    const isTimedOut = nowMs - placingSinceMs >= options.limits.placeTimeoutMs;
    const dispatcher = attempt === undefined
      ? undefined
      : options.placer.findDispatcher(attempt.targetId);
    if (isTimedOut || dispatcher !== attempt?.dispatcher) {
      return this.#ender.handleSlotRefused(running, 0);
    }
    this.#starter.renewRequest(running);
  }

  #closeCall(running: RunningCall): void {
    const { callId, outcome } = running.state;
    const { programId } = running.spec;
    this.#calls.delete(callId);
    const siblings = this.#byProgram.get(programId);
    siblings?.delete(running);
    if (siblings?.size === 0) this.#byProgram.delete(programId);
    if (outcome !== undefined) this.#waiters.sendOutcome(callId, outcome);
    this.startNext(programId);
  }
}

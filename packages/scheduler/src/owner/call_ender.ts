/**
 * Ends attempts and calls: what may be tried again is, everything else gets
 * its one durable outcome.
 */
import { createFailure, type Failure, RESULT_CODES } from "@camphorlock/codes";
import {
  type AttemptEvent,
  type AttemptId,
  type CallOutcome,
  checkNever,
  type CompletedOutcome,
  type FailedOutcome,
  type Micros,
  type Usage,
} from "@camphorlock/types";
import { ok, type Result } from "neverthrow";
import { computeDigest } from "./digest.ts";
import type { OwnerContext } from "./owner_context.ts";
import { computeCost, computePromptBound } from "./pricing.ts";
import { computeRest } from "./program_state.ts";
import type { RunningCall } from "./running_call.ts";

/** An event that ends an attempt. */
type EndEvent = Exclude<AttemptEvent, { kind: "text" }>;

/** What the ender tells the runner. */
interface EnderHooks {
  forgetAttempt(attemptId: AttemptId): void;
  /** The call is in the queue again. */
  requeue(running: RunningCall): void;
  /** The outcome is durable. */
  finish(running: RunningCall): void;
}

/** How an attempt ended, as its dispatcher is told. */
type SlotOutcome = "completed" | "failed" | "cancelled" | "stalled";

/** Decides between a new attempt and an outcome. */
export class CallEnder {
  readonly #context: OwnerContext;
  readonly #hooks: EnderHooks;

  constructor(context: OwnerContext, hooks: EnderHooks) {
    this.#context = context;
    this.#hooks = hooks;
  }

  /** Handles the end of the present attempt. */
  handle(running: RunningCall, event: EndEvent): void {
    this.#logEnd(running, event);
    switch (event.kind) {
      case "completed":
        return this.#complete(running, event.text, event.usage);
      case "rejected":
        return this.#handleRejected(running, event);
      case "not_sent":
        return this.#retryNotRun(running, event.detail);
      case "broken":
        return this.#handleBroken(running, event.detail);
      default:
        return checkNever(event);
    }
  }

  /** Handles a refused or unanswered request for a slot: nothing was sent. */
  handleSlotRefused(running: RunningCall, retryAfterMs: number): void {
    const { limits } = this.#context.options;
    const waitedMs = this.#context.nowMs - running.sinceMs;
    if (waitedMs >= limits.placeTimeoutMs) {
      const detail = "no dispatcher granted a slot in time";
      const failure = createFailure("Overloaded", detail, retryAfterMs);
      return this.endNotRun(running, failure);
    }
    this.#releaseSlot(running, "cancelled");
    this.#requeue(running, retryAfterMs);
  }

  /**
   * Ends a call that isn't tried again: as not run only if no attempt can have
   * reached a target.
   */
  endNotRun(running: RunningCall, failure: Failure): void {
    if (running.mayHaveRun) return this.#fail(running, failure, 0);
    const { code, detail, retryAfterMs } = failure;
    const outcome = { status: "not_run", code, detail } as const;
    if (retryAfterMs === undefined) return this.#end(running, outcome);
    this.#end(running, { ...outcome, retryAfterMs });
  }

  /** Tries again to append an outcome that the ledger refused. */
  endPending(running: RunningCall): void {
    const { pendingOutcome } = running;
    if (pendingOutcome !== undefined) this.#end(running, pendingOutcome);
  }

  /** Ends a call because its program is stopped. */
  stop(running: RunningCall): void {
    const failure = createFailure("ProgramEnded", "the program was ended");
    switch (running.phase) {
      case "accepting":
      case "queued":
      case "waiting_slot":
      case "intending":
        this.#releaseSlot(running, "cancelled");
        return this.endNotRun(running, failure);
      case "running":
        return this.#stopSent(running, failure);
      case "ending":
        return;
      default:
        return checkNever(running.phase);
    }
  }

  #stopSent(running: RunningCall, failure: Failure): void {
    if (!isIdempotent(running)) return;
    this.#cancelSent(running);
    this.#releaseSlot(running, "cancelled");
    this.#fail(running, failure, this.#computeLost(running));
  }

  #handleRejected(
    running: RunningCall,
    event: Extract<EndEvent, { kind: "rejected" }>,
  ): void {
    if (event.notRun) return this.#retryNotRun(running, event.detail);
    this.#releaseSlot(running, "failed");
    const detail = `status ${event.status}: ${event.detail}`;
    const failure = createFailure("TargetRejected", detail);
    this.#fail(running, failure, this.#computeLost(running));
  }

  /**
   * Tries again what didn't reach its target. For an attempt of an earlier
   * owner only the question about it failed: it counts as broken.
   */
  #retryNotRun(running: RunningCall, detail: string): void {
    if (running.attempt?.inherited === true) {
      return this.#handleBroken(running, detail);
    }
    this.#releaseSlot(running, "failed");
    if (this.#canTryAgain(running)) return this.#retry(running);
    this.endNotRun(running, createFailure("TargetBroken", detail));
  }

  #handleBroken(running: RunningCall, detail: string): void {
    this.#releaseSlot(running, "stalled");
    running.mayHaveRun = true;
    if (!isIdempotent(running)) return this.#endUnknown(running, detail);
    const lostMicros = this.#computeLost(running);
    this.#cancelSent(running);
    if (this.#canTryAgain(running) && this.#canPay(running)) {
      const appended = this.#appendLost(running, lostMicros);
      if (appended.isOk()) return this.#retry(running);
    }
    const failure = createFailure("TargetBroken", detail);
    this.#fail(running, failure, lostMicros);
  }

  /** A non-idempotent attempt may have run: that is stored, with its price. */
  #endUnknown(running: RunningCall, detail: string): void {
    const { code } = createFailure("OutcomeUnknown", detail);
    this.#end(running, {
      status: "unknown",
      code,
      detail,
      chargeMicros: running.state.reservedMicros,
      agreementRevision: this.#context.options.getConfiguration().revision,
    });
  }

  #complete(running: RunningCall, text: string, usage: Usage): void {
    const { attempt, state } = running;
    if (attempt === undefined) return;
    if (!text.startsWith(running.text)) {
      return this.#handleBroken(running, "the answer differs from its stream");
    }
    const configuration = this.#context.options.getConfiguration();
    const cost = computeCost(state.call, usage, configuration.prices);
    const used = state.lostChargedMicros +
      Math.min(cost, state.reservedMicros);
    this.#recordCached(running, usage);
    this.#releaseSlot(running, "completed");
    this.#end(running, {
      status: "completed",
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
      text,
      usage,
      chargeMicros: used,
      agreementRevision: configuration.revision,
      digest: computeDigest(text),
    });
  }

  #fail(running: RunningCall, failure: Failure, lostMicros: Micros): void {
    const outcome: FailedOutcome = {
      status: "failed",
      code: failure.code,
      detail: failure.detail,
      chargeMicros: running.state.lostChargedMicros + lostMicros,
      agreementRevision: this.#context.options.getConfiguration().revision,
    };
    this.#end(running, outcome);
  }

  #end(running: RunningCall, outcome: CallOutcome): void {
    const { callId } = running.state;
    const { programId } = running.spec;
    const endedAtMs = this.#context.options.getWallClockMs();
    running.phase = "ending";
    running.pendingOutcome = undefined;
    const appended = this.#context.append([{
      kind: "call_ended",
      programId,
      callId,
      outcome,
      endedAtMs,
      serviceMs: this.#computeService(running),
    }], () => this.#hooks.finish(running));
    if (appended.isErr()) {
      return this.#postponeEnd(running, outcome, appended.error);
    }
    this.#context.log("CallEnded", { callId, status: outcome.status });
  }

  /** Keeps the outcome until there's space; a text too large fails. */
  #postponeEnd(
    running: RunningCall,
    outcome: CallOutcome,
    failure: Failure,
  ): void {
    const isTooLarge = outcome.status === "completed" &&
      failure.code === RESULT_CODES.EntryTooLarge.code;
    running.pendingOutcome = isTooLarge
      ? buildTooLarge(outcome, failure)
      : outcome;
  }

  #retry(running: RunningCall): void {
    const { attempt, state } = running;
    if (attempt !== undefined) running.excluded.push(attempt.targetId);
    this.#context.log("CallRetried", {
      callId: state.callId,
      attempts: running.attemptsBegun,
    });
    this.#requeue(running, 0);
  }

  #requeue(running: RunningCall, delayMs: number): void {
    running.attempt = undefined;
    running.phase = "queued";
    running.notBeforeMs = this.#context.nowMs + delayMs;
    this.#hooks.requeue(running);
  }

  #canTryAgain(running: RunningCall): boolean {
    const { maxAttempts } = this.#context.options.limits;
    if (running.attemptsSent >= maxAttempts) return false;
    const { programId } = running.spec;
    const program = this.#context.state.programs.get(programId);
    return program !== undefined && program.endReason === undefined;
  }

  /** Whether the budget covers the lost attempt beside the reservation. */
  #canPay(running: RunningCall): boolean {
    const { programId } = running.spec;
    const program = this.#context.state.programs.get(programId);
    if (program === undefined) return false;
    return computeRest(program) >= running.state.reservedMicros;
  }

  /**
   * Records a lost attempt at once. Its target may go on unseen, so that the
   * budget counts the whole reservation.
   */
  #appendLost(
    running: RunningCall,
    chargedMicros: Micros,
  ): Result<void, Failure> {
    const { attempt, state } = running;
    if (attempt === undefined) return ok(undefined);
    return this.#context.append([{
      kind: "attempt_lost",
      programId: running.spec.programId,
      callId: state.callId,
      attemptId: attempt.attemptId,
      heldMicros: state.reservedMicros,
      chargedMicros,
    }]);
  }

  #cancelSent(running: RunningCall): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    const { attemptId, targetId } = attempt;
    this.#context.emit({ kind: "cancel_attempt", attemptId, targetId });
  }

  #computeService(running: RunningCall): number {
    const { attempt } = running;
    if (attempt === undefined || running.state.attempts.length === 0) return 0;
    return Math.round(this.#context.nowMs - attempt.sentAtMs);
  }

  /** Computes an upper bound of what the present attempt used. */
  #computeLost(running: RunningCall): Micros {
    const { state, attempt } = running;
    const { prices } = this.#context.options.getConfiguration();
    if (attempt === undefined) return 0;
    if (attempt.inherited) return state.reservedMicros;
    if (state.call.kind === "service") return prices.serviceCallMicros;
    const usage: Usage = {
      promptTokens: computePromptBound(state.call),
      cachedTokens: 0,
      completionTokens: attempt.tokens,
    };
    const cost = computeCost(state.call, usage, prices);
    return Math.min(cost, state.reservedMicros);
  }

  #recordCached(running: RunningCall, usage: Usage): void {
    const { attempt, spec, state } = running;
    if (attempt === undefined || state.call.kind !== "model") return;
    this.#context.options.placer.recordCached(spec.programId, {
      targetId: attempt.targetId,
      tokens: usage.promptTokens + usage.completionTokens,
      nowMs: this.#context.nowMs,
    });
  }

  #releaseSlot(running: RunningCall, outcome: SlotOutcome): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    this.#hooks.forgetAttempt(attempt.attemptId);
    this.#context.send(attempt.dispatcher, {
      kind: "slot_released",
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
      outcome,
      firstTokenMs: attempt.firstTokenMs,
      durationMs: this.#context.nowMs - attempt.sentAtMs,
      tokens: attempt.tokens,
    });
  }

  #logEnd(running: RunningCall, event: EndEvent): void {
    this.#context.log("AttemptEnded", {
      attemptId: running.attempt?.attemptId,
      targetId: running.attempt?.targetId,
      result: event.kind,
    });
  }
}

/** Builds the outcome of a call whose answer no ledger entry can hold. */
function buildTooLarge(
  outcome: CompletedOutcome,
  failure: Failure,
): FailedOutcome {
  const { chargeMicros, agreementRevision } = outcome;
  const { code, detail } = failure;
  return { status: "failed", code, detail, chargeMicros, agreementRevision };
}

/** Whether a second run of the call can't harm its caller. */
function isIdempotent(running: RunningCall): boolean {
  const { call } = running.state;
  return call.kind === "model" || call.idempotent;
}

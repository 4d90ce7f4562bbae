/**
 * Ends attempts and calls: schedules a retry where one is allowed, otherwise
 * stores the call's only outcome.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  type AttemptEvent,
  type CallOutcome,
  checkNever,
  type FailedOutcome,
  type Usage,
} from "@camphorlock/types";
import type { AttemptCloser } from "./attempt_closer.ts";
import { computeDigest } from "./digest.ts";
import type { OwnerContext } from "./owner_context.ts";
import { computeCallCharge } from "./call_charge.ts";
import { computeBackoffMs } from "../retry/mod.ts";
import { CallRetryPolicy } from "./call_retry_policy.ts";
import { buildPendingOutcome } from "./pending_outcome.ts";
import { isIdempotent, type RunningCall } from "./running_call.ts";

/** An event that ends an attempt. */
type EndEvent = Exclude<AttemptEvent, { kind: "text" }>;

/** Callbacks from the ender to the runner. */
interface EnderHooks {
  /** Called when the call is queued again. */
  requeue(running: RunningCall): void;
  /** Called when the outcome is durable. */
  finish(running: RunningCall): void;
}

/** Ends calls, or queues them for another attempt. */
export class CallEnder {
  readonly #context: OwnerContext;
  readonly #closer: AttemptCloser;
  readonly #hooks: EnderHooks;
  readonly #retryPolicy: CallRetryPolicy;

  constructor(
    context: OwnerContext,
    closer: AttemptCloser,
    hooks: EnderHooks,
  ) {
    this.#context = context;
    this.#closer = closer;
    this.#hooks = hooks;
    this.#retryPolicy = new CallRetryPolicy(context);
  }

  /** Handles the end of the current attempt. */
  handle(running: RunningCall, event: EndEvent): void {
    this.#logAttemptEnd(running, event);
    switch (event.kind) {
      case "completed":
        return this.#endCompleted(running, event.text, event.usage);
      case "rejected":
        return this.#handleRejected(running, event);
      case "not_sent":
        return this.#handleNotSent(running, event.detail);
      case "broken":
        return this.#handleBroken(running, event.detail);
      default:
        return checkNever(event);
    }
  }

  /** Handles a refused or timed-out slot request; no attempt was sent. */
  handleSlotRefused(running: RunningCall, retryAfterMs: number): void {
    const { limits } = this.#context.options;
    const waitedMs = this.#context.nowMs - running.placingSinceMs;
    if (waitedMs >= limits.placeTimeoutMs) {
      const detail = "no slot was granted before the timeout";
      const failure = createFailure("Overloaded", detail, retryAfterMs);
      return this.endNotRun(running, failure);
    }
    this.#closer.releaseSlot(running, "cancelled");
    const { retries } = this.#context.options;
    const backoffMs = computeBackoffMs(running.attemptsCreated, retries);
    this.#setQueued(running, Math.max(backoffMs, retryAfterMs));
  }

  /** Refuses a call of a program that hasn't used any target time yet. */
  endOverloaded(running: RunningCall, retryAfterMs: number): void {
    const detail = "the target's queue is full";
    this.endNotRun(running, createFailure("Overloaded", detail, retryAfterMs));
  }

  /**
   * Ends a call without another attempt: as not run only if no attempt can
   * have reached a target.
   */
  endNotRun(running: RunningCall, failure: Failure): void {
    if (running.mayHaveRun) return this.#endFailed(running, failure, 0);
    const { code, detail, retryAfterMs } = failure;
    const outcome = { status: "not_run", code, detail } as const;
    if (retryAfterMs === undefined) return this.#end(running, outcome);
    this.#end(running, { ...outcome, retryAfterMs });
  }

  /** Appends again an outcome that the ledger refused. */
  endPending(running: RunningCall): void {
    const { pendingOutcome } = running;
    if (pendingOutcome !== undefined) this.#end(running, pendingOutcome);
  }

  /** Ends a call because its program was ended. */
  stop(running: RunningCall): void {
    const failure = createFailure("ProgramEnded", "the program was ended");
    switch (running.phase) {
      case "queued":
      case "waiting_slot":
      case "intending":
        this.#closer.releaseSlot(running, "cancelled");
        return this.endNotRun(running, failure);
      case "running":
        return this.#stopRunning(running, failure);
      case "ending":
        return;
      default:
        return checkNever(running.phase);
    }
  }

  #stopRunning(running: RunningCall, failure: Failure): void {
    if (!isIdempotent(running)) return;
    this.#closer.cancelAtTarget(running);
    this.#closer.releaseSlot(running, "cancelled");
    this.#closer.appendLost(running);
    this.#endFailed(running, failure, 0);
  }

  #handleRejected(
    running: RunningCall,
    event: Extract<EndEvent, { kind: "rejected" }>,
  ): void {
    if (event.notRun) return this.#handleNotRun(running, event.detail);
    this.#closer.releaseSlot(running, "failed");
    const detail = `status ${event.status}: ${event.detail}`;
    const failure = createFailure("TargetRejected", detail);
    this.#endFailed(
      running,
      failure,
      this.#closer.computeObservedCost(running),
    );
  }

  /**
   * Handles an attempt that wasn't sent to its target. For an attempt of an
   * earlier owner, only the request to resume wasn't sent: it counts as broken.
   */
  #handleNotSent(running: RunningCall, detail: string): void {
    if (running.attempt?.inherited === true) {
      return this.#handleBroken(running, detail);
    }
    this.#handleNotRun(running, detail);
  }

  /** Retries an attempt that its target has not run and won't run. */
  #handleNotRun(running: RunningCall, detail: string): void {
    this.#closer.releaseSlot(running, "failed");
    const delayMs = this.#retryPolicy.findDelayMs(running, {
      kind: "not_sent",
    });
    if (delayMs !== undefined) return this.#scheduleRetry(running, delayMs);
    this.endNotRun(running, createFailure("TargetBroken", detail));
  }

  #handleBroken(running: RunningCall, detail: string): void {
    this.#closer.releaseSlot(running, "stalled");
    running.mayHaveRun = true;
    if (!isIdempotent(running)) return this.#endUnknown(running, detail);
    this.#closer.cancelAtTarget(running);
    const appended = this.#closer.appendLost(running);
    const delayMs = this.#retryPolicy.findDelayMs(running, { kind: "broken" });
    if (appended.isOk() && delayMs !== undefined) {
      return this.#scheduleRetry(running, delayMs);
    }
    this.#endFailed(running, createFailure("TargetBroken", detail), 0);
  }

  /** Stores that a non-idempotent attempt may have run; charges its price. */
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

  #endCompleted(running: RunningCall, text: string, usage: Usage): void {
    const { attempt, state } = running;
    if (attempt === undefined) return;
    if (!text.startsWith(running.text)) {
      return this.#handleBroken(
        running,
        "the final text differs from the stream",
      );
    }
    const configuration = this.#context.options.getConfiguration();
    const cost = computeCallCharge(configuration.value, state.call, usage);
    const totalMicros = state.lostChargedMicros +
      Math.min(cost, state.reservedMicros);
    this.#closer.recordCached(running, attempt, usage);
    const { placer } = this.#context.options;
    placer.recordCompletion(running.spec.agent, usage.completionTokens);
    this.#closer.releaseSlot(running, "completed");
    this.#end(running, {
      status: "completed",
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
      text,
      usage,
      chargeMicros: totalMicros,
      agreementRevision: configuration.revision,
      digest: computeDigest(text),
    });
  }

  #endFailed(
    running: RunningCall,
    failure: Failure,
    attemptMicros: number,
  ): void {
    const outcome: FailedOutcome = {
      status: "failed",
      code: failure.code,
      detail: failure.detail,
      chargeMicros: running.state.lostChargedMicros + attemptMicros,
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
      serviceMs: this.#computeServiceMs(running),
    }], () => this.#hooks.finish(running));
    if (appended.isErr()) {
      running.pendingOutcome = buildPendingOutcome(outcome, appended.error);
      return;
    }
    this.#settleShared(running, outcome);
    this.#context.log("CallEnded", { callId, status: outcome.status });
  }

  #settleShared(running: RunningCall, outcome: CallOutcome): void {
    const { shared } = running;
    if (shared === undefined) return;
    const charged = outcome.status === "not_run" ? 0 : outcome.chargeMicros;
    this.#context.options.budgets.settle(shared, charged);
  }

  #scheduleRetry(running: RunningCall, delayMs: number): void {
    const { attempt, state } = running;
    if (attempt !== undefined) running.excluded.push(attempt.targetId);
    this.#context.log("CallRetried", {
      callId: state.callId,
      attempts: running.attemptsCreated,
    });
    this.#setQueued(running, delayMs);
  }

  #setQueued(running: RunningCall, delayMs: number): void {
    running.attempt = undefined;
    running.phase = "queued";
    running.notBeforeMs = this.#context.nowMs + delayMs;
    this.#hooks.requeue(running);
  }

  #computeServiceMs(running: RunningCall): number {
    const { attempt } = running;
    if (attempt === undefined || running.state.attempts.length === 0) return 0;
    return Math.round(this.#context.nowMs - attempt.sentAtMs);
  }

  #logAttemptEnd(running: RunningCall, event: EndEvent): void {
    this.#context.log("AttemptEnded", {
      attemptId: running.attempt?.attemptId,
      targetId: running.attempt?.targetId,
      result: event.kind,
    });
  }
}

/**
 * Closes attempts: releases the slot, cancels an attempt that still runs, and
 * records its cost and the tokens that its target has cached.
 */
import type { Failure } from "@camphorlock/codes";
import type { AttemptId, Micros, Usage } from "@camphorlock/types";
import { ok, type Result } from "neverthrow";
import type { OwnerContext } from "./owner_context.ts";
import { computePromptBound } from "../budget/mod.ts";
import { computeCallCharge } from "./call_charge.ts";
import type { RunningAttempt, RunningCall } from "./running_call.ts";

/** How an attempt ended, as reported to its dispatcher. */
export type SlotOutcome = "completed" | "failed" | "cancelled" | "stalled";

/** Closes the current attempt of calls. */
export class AttemptCloser {
  readonly #context: OwnerContext;
  readonly #byAttempt: Map<AttemptId, RunningCall>;

  constructor(
    context: OwnerContext,
    byAttempt: Map<AttemptId, RunningCall>,
  ) {
    this.#context = context;
    this.#byAttempt = byAttempt;
  }

  /** Releases the slot of the current attempt; its later events are ignored. */
  releaseSlot(running: RunningCall, outcome: SlotOutcome): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    this.#byAttempt.delete(attempt.attemptId);
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

  /** Orders the target to cancel the current attempt. */
  cancelAtTarget(running: RunningCall): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    const { attemptId, targetId } = attempt;
    this.#context.addEffect({ kind: "cancel_attempt", attemptId, targetId });
  }

  /**
   * Records an attempt whose result is lost. The budget counts the full
   * reservation, since the target may continue the attempt unobserved.
   */
  appendLost(running: RunningCall): Result<void, Failure> {
    const { attempt, state } = running;
    if (attempt === undefined) return ok(undefined);
    return this.#context.append([{
      kind: "attempt_lost",
      programId: running.spec.programId,
      callId: state.callId,
      attemptId: attempt.attemptId,
      heldMicros: state.reservedMicros,
      chargedMicros: this.computeObservedCost(running),
    }]);
  }

  /** Computes the cost of the observed part of the current attempt. */
  computeObservedCost(running: RunningCall): Micros {
    const { state, attempt } = running;
    const { value } = this.#context.options.getConfiguration();
    if (attempt === undefined) return 0;
    if (attempt.inherited) return state.reservedMicros;
    const promptTokens = state.call.kind === "model"
      ? computePromptBound(state.call.messages)
      : 0;
    const usage: Usage = {
      promptTokens,
      cachedTokens: 0,
      completionTokens: attempt.tokens,
    };
    const cost = computeCallCharge(value, state.call, usage);
    return Math.min(cost, state.reservedMicros);
  }

  /** Records the tokens that the target of an attempt has cached. */
  recordCached(
    running: RunningCall,
    attempt: RunningAttempt,
    usage: Usage,
  ): void {
    if (running.state.call.kind !== "model") return;
    this.#context.options.placer.recordCached(running.spec.programId, {
      targetId: attempt.targetId,
      tokens: usage.promptTokens + usage.completionTokens,
      nowMs: this.#context.nowMs,
    });
  }
}

/**
 * Starts attempts: placement, slot, durable intent, then the start order.
 */
import type { Failure } from "@camphorlock/codes";
import type { AttemptId, AttemptOrder, ModelCall } from "@camphorlock/types";
import { ok, type Result } from "neverthrow";
import type { OwnerContext } from "./owner_context.ts";
import type { PlacementChoice } from "./ports.ts";
import { computePromptBound } from "../budget/mod.ts";
import type { RunningAttempt, RunningCall } from "./running_call.ts";

/** Average bytes of text per token. */
const BYTES_PER_TOKEN = 4;

/** Callbacks from the starter to the runner. */
interface StarterHooks {
  /** Called when the target closed before the attempt was sent. */
  handleTargetClosed(running: RunningCall): void;
}

/** Takes queued calls through placement and slot to a sent attempt. */
export class AttemptStarter {
  readonly #context: OwnerContext;
  readonly #byAttempt: Map<AttemptId, RunningCall>;
  readonly #hooks: StarterHooks;

  constructor(
    context: OwnerContext,
    byAttempt: Map<AttemptId, RunningCall>,
    hooks: StarterHooks,
  ) {
    this.#context = context;
    this.#byAttempt = byAttempt;
    this.#hooks = hooks;
  }

  /** Chooses a target and requests a slot from its dispatcher. */
  start(running: RunningCall): Result<void, Failure> {
    const { spec, state } = running;
    const { call } = state;
    const promptTokens = call.kind === "model" ? computePromptTokens(call) : 0;
    const choice = this.#context.options.placer.choose({
      callId: state.callId,
      programId: spec.programId,
      partner: spec.partner,
      programClass: spec.programClass,
      agent: spec.agent,
      call,
      promptTokens,
      excluded: running.excluded,
    }, this.#context.nowMs);
    if (choice.isErr()) return choice.map(() => undefined);
    for (const effect of choice.value.effects) this.#context.addEffect(effect);
    this.#openSlotRequest(running, choice.value, promptTokens);
    return ok(undefined);
  }

  /**
   * Appends the intent of the granted attempt; sends the attempt once the
   * intent is durable.
   *
   * Fails if the ledger refuses the intent; the attempt isn't sent then.
   */
  recordIntent(running: RunningCall): Result<void, Failure> {
    const { attempt } = running;
    if (attempt === undefined) return ok(undefined);
    const intendedAtMs = this.#context.nowMs;
    const appended = this.#context.append([{
      kind: "attempt_started",
      programId: running.spec.programId,
      callId: running.state.callId,
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
    }], () => this.#sendAfterIntent(running, attempt, intendedAtMs));
    if (appended.isOk()) running.phase = "intending";
    return appended;
  }

  /** Resumes the last attempt of an earlier owner instead of starting one. */
  resume(running: RunningCall): void {
    const last = running.state.attempts.at(-1);
    if (last === undefined) return;
    const attempt = this.#createAttempt(last.attemptId, {
      targetId: last.targetId,
      dispatcher: this.#context.options.self,
      inherited: true,
      promptTokens: 0,
      cachedTokens: 0,
    });
    running.attempt = attempt;
    running.mayHaveRun = true;
    running.phase = "running";
    this.#byAttempt.set(attempt.attemptId, running);
    const order = this.#buildOrder(running, attempt);
    this.#context.addEffect({ kind: "resume_attempt", order });
  }

  /** Renews the slot of the current attempt once per renewal period. */
  renew(running: RunningCall): void {
    const { attempt } = running;
    const { nowMs, options } = this.#context;
    if (attempt === undefined) return;
    if (nowMs - attempt.renewedAtMs < options.limits.renewPeriodMs) return;
    attempt.renewedAtMs = nowMs;
    this.#context.send(attempt.dispatcher, {
      kind: "slot_renewed",
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
      tokens: attempt.unreportedTokens,
    });
    attempt.unreportedTokens = 0;
  }

  #openSlotRequest(
    running: RunningCall,
    choice: PlacementChoice,
    promptTokens: number,
  ): void {
    running.attemptsCreated += 1;
    const { epoch } = this.#context.options;
    const { callId } = running.state;
    const attemptId = `${callId}.${epoch}.${running.attemptsCreated}`;
    const attempt = this.#createAttempt(attemptId, {
      targetId: choice.targetId,
      dispatcher: choice.dispatcher,
      inherited: false,
      promptTokens,
      cachedTokens: choice.cachedTokens,
    });
    running.attempt = attempt;
    running.phase = "waiting_slot";
    this.#byAttempt.set(attemptId, running);
    this.#sendSlotRequest(running, attempt);
  }

  #sendSlotRequest(running: RunningCall, attempt: RunningAttempt): void {
    const { spec, state } = running;
    this.#context.send(attempt.dispatcher, {
      kind: "slot_request",
      attemptId: attempt.attemptId,
      targetId: attempt.targetId,
      partner: spec.partner,
      programClass: spec.programClass,
      agent: spec.agent,
      programId: spec.programId,
      attainedMs: this.#getAttainedMs(running),
      promptTokens: attempt.promptTokens,
      cachedTokens: attempt.cachedTokens,
      maxTokens: state.call.kind === "model" ? state.call.maxTokens : 0,
    });
  }

  /** Repeats the slot request; a queued request keeps its position. */
  renewRequest(running: RunningCall): void {
    const { attempt } = running;
    if (attempt === undefined) return;
    attempt.requestedAtMs = this.#context.nowMs;
    this.#sendSlotRequest(running, attempt);
  }

  #createAttempt(
    attemptId: AttemptId,
    placement: AttemptPlacement,
  ): RunningAttempt {
    const { nowMs } = this.#context;
    return {
      attemptId,
      ...placement,
      requestedAtMs: nowMs,
      sentAtMs: nowMs,
      firstTokenMs: 0,
      tokens: 0,
      unreportedTokens: 0,
      renewedAtMs: nowMs,
    };
  }

  /**
   * Sends the attempt, after another confirmation of the epoch if the intent
   * took too long to become durable.
   */
  #sendAfterIntent(
    running: RunningCall,
    attempt: RunningAttempt,
    intendedAtMs: number,
  ): void {
    if (!this.#isCurrent(running, attempt)) return;
    const ageMs = this.#context.nowMs - intendedAtMs;
    if (ageMs < this.#context.options.limits.intentAgeMs) {
      return this.#send(running, attempt);
    }
    this.#context.confirm(() => {
      if (this.#isCurrent(running, attempt)) this.#send(running, attempt);
    });
  }

  #isCurrent(running: RunningCall, attempt: RunningAttempt): boolean {
    return running.phase === "intending" && running.attempt === attempt;
  }

  /** Sends the attempt, unless its target has closed in the meantime. */
  #send(running: RunningCall, attempt: RunningAttempt): void {
    if (!this.#context.options.placer.isOpen(attempt.targetId)) {
      return this.#hooks.handleTargetClosed(running);
    }
    running.phase = "running";
    running.attemptsSent += 1;
    if (running.attemptsSent === 1) {
      this.#context.options.retries.budget.recordFirstAttempt();
    }
    running.placingSinceMs = Infinity;
    attempt.sentAtMs = this.#context.nowMs;
    const order = this.#buildOrder(running, attempt);
    this.#context.log("AttemptStarted", {
      callId: order.callId,
      attemptId: order.attemptId,
      targetId: order.targetId,
    });
    this.#context.addEffect({ kind: "start_attempt", order });
  }

  #buildOrder(running: RunningCall, attempt: RunningAttempt): AttemptOrder {
    return {
      attemptId: attempt.attemptId,
      programId: running.spec.programId,
      callId: running.state.callId,
      targetId: attempt.targetId,
      call: running.state.call,
      prefixText: running.text,
      progressTimeoutMs: this.#context.options.limits.progressTimeoutMs,
    };
  }

  #getAttainedMs(running: RunningCall): number {
    const { programId } = running.spec;
    const program = this.#context.state.programs.get(programId);
    return program?.attainedMs ?? 0;
  }
}

/** The target and dispatcher of an attempt, and its prompt tokens. */
type AttemptPlacement = Pick<
  RunningAttempt,
  "targetId" | "dispatcher" | "inherited" | "promptTokens" | "cachedTokens"
>;

/** Estimates the tokens of a prompt; budgets use the upper bound. */
function computePromptTokens(call: ModelCall): number {
  return Math.ceil(computePromptBound(call.messages) / BYTES_PER_TOKEN);
}

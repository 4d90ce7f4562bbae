/**
 * Runs one request of a caller from its route to its final response: chooses a
 * target, sends an attempt, and retries a failed attempt if the route's kind
 * allows another one.
 */
import { EVENTS } from "@camphorlock/codes/events";
import { isDelimited } from "@camphorlock/http/exchange";
import { chooseService } from "../decisions/choose_service.ts";
import type { StreamEvent } from "../decisions/event_splitter.ts";
import {
  type FailedAttempt,
  needsConfirmation,
  planNextStep,
} from "../decisions/next_step.ts";
import type { TrackedTarget } from "../decisions/target_table.ts";
import { recordBeginning } from "../streams/record_beginning.ts";
import { saveTurn, type TurnState } from "../turns/turn_state.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import type { TargetResponse } from "./buffered_attempt.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import { acquireTarget } from "./next_target.ts";
import { RequestBlocks } from "./request_blocks.ts";
import { confirmCredit } from "./request_credit.ts";
import { RequestClock } from "./request_clock.ts";
import { RequestAttempts } from "./request_attempts.ts";
import { TargetTurns } from "./target_turns.ts";
import {
  type AcceptedRequest,
  endRequest,
  logRequest,
  type RequestOutcome,
  sendResponse,
} from "./request_end.ts";
import type { StreamAttemptResult } from "./stream_attempt.ts";
import {
  buildBlockedOutcome,
  buildCutOffOutcome,
  buildFailureOutcome,
  buildKeyOutcome,
  buildRefusalOutcome,
  buildTimeoutOutcome,
  buildVersionGoneOutcome,
} from "./request_outcomes.ts";

type StopReason = "timeout" | "disconnected" | "process_end" | "blocked";

/** Runs one accepted request to its final response. */
export class RequestRunner {
  readonly #dependencies: ExchangeDependencies;
  readonly #accepted: AcceptedRequest;
  readonly #state: TurnState;
  readonly #service: string;
  readonly #isStream: boolean;
  readonly #isRepeatable: boolean;
  readonly #clock: RequestClock;
  readonly #attempts: RequestAttempts;
  readonly #blocks: RequestBlocks;
  readonly #runner: AttemptRunner;
  #stopped: StopReason | undefined;
  readonly #turns: TargetTurns;

  constructor(
    dependencies: ExchangeDependencies,
    accepted: AcceptedRequest,
    state: TurnState = {},
  ) {
    this.#dependencies = dependencies;
    this.#accepted = accepted;
    this.#state = state;
    const { route, fields } = accepted;
    const key = fields.programId ?? fields.requestId;
    this.#service = chooseService(route, key, state.begun?.service);
    this.#isStream = route.kind === "streaming";
    this.#isRepeatable = route.kind === "idempotent" ||
      (this.#isStream && route.isResumable);
    this.#clock = new RequestClock(accepted);
    this.#attempts = new RequestAttempts(fields.resumeAfter, state.begun);
    const { fingerprint } = accepted;
    this.#runner = new AttemptRunner(dependencies);
    this.#blocks = new RequestBlocks(dependencies, fingerprint, this.#service);
    this.#turns = new TargetTurns(dependencies, {
      report: this.#buildReport(),
      state,
      clock: this.#clock,
      blocks: this.#blocks,
    });
  }

  /** Runs until the final response was sent or the caller disconnected. */
  async run(): Promise<void> {
    const timer = setTimeout(
      () => this.#stop("timeout"),
      this.#clock.countLeftMs(),
    );
    this.#accepted.caller.onDisconnect(() => this.#stop("disconnected"));
    const outcome = await saveTurn(await this.#runAttempts(), {
      accepted: this.#accepted,
      turn: this.#state.turn,
      targetId: this.#attempts.targetIds.at(-1) ?? "",
      deadlineMs: this.#clock.deadlineAtMs,
    });
    clearTimeout(timer);
    endRequest(this.#dependencies, this.#buildReport(), outcome);
  }

  /** Ends the request early, since the process ends. */
  stop(): void {
    this.#stop("process_end");
  }

  /** Ends the request early if it was blocked before it had a response. */
  stopIfBlocked(): void {
    if (!this.#isRepeatable || this.#attempts.progress.events > 0) return;
    if (this.#blocks.find() !== undefined) this.#stop("blocked");
  }

  /** Repeats the running attempt elsewhere, if its answer can't arrive. */
  resumeElsewhere(): void {
    if (!this.#isRepeatable || !this.#runner.isDirect) return;
    void this.#runner.stop({ isCancelled: true });
  }

  async #runAttempts(): Promise<RequestOutcome> {
    for (;;) {
      if (this.#stopped !== undefined) return this.#buildStoppedOutcome();
      const block = this.#blocks.find() ?? this.#blocks.findLastTrial();
      if (block !== undefined) {
        return buildBlockedOutcome(block, this.#attempts.mayHaveRun);
      }
      if (!this.#dependencies.ways.paths.canReachTargets) {
        return buildCutOffOutcome(this.#attempts.mayHaveRun);
      }
      const turn = await this.#turns.take();
      if (turn.kind === "recheck") continue;
      if (turn.kind === "refused") return turn.outcome;
      if (turn.kind === "expired") return this.#buildRefusal();
      if (turn.kind === "version_gone") {
        return buildVersionGoneOutcome(this.#attempts.mayHaveRun);
      }
      const quotaOutcome = await confirmCredit(this.#accepted);
      if (quotaOutcome !== undefined) return quotaOutcome;
      const { entry } = turn.choice;
      const isAcquired = await acquireTarget(
        this.#dependencies,
        this.#attempts,
        entry,
      );
      if (!isAcquired || this.#stopped !== undefined) continue;
      const refusal = this.#attempts.mayHaveRun
        ? undefined
        : this.#accepted.admission.confirm();
      if (refusal !== undefined) return buildKeyOutcome(refusal);
      const result = await this.#runAttempt(entry);
      if (this.#stopped !== undefined) return this.#buildStoppedOutcome();
      switch (result.kind) {
        case "completed":
          return { kind: "completed", status: 200 };
        case "answered":
          if (!this.#planConfirmation(entry, result)) {
            return sendResponse(this.#dependencies, this.#accepted, result);
          }
          break;
        default: {
          const next = this.#planNextAttempt(entry, result);
          if (next.kind === "refuse") return this.#buildRefusal();
          if (next.kind === "fail") return buildFailureOutcome(result.detail);
          this.#turns.onlyRunners = next.to === "runners";
        }
      }
    }
  }

  async #runAttempt(entry: TrackedTarget): Promise<StreamAttemptResult> {
    const result = await this.#runner.run({
      accepted: this.#accepted,
      attempts: this.#attempts,
      entry,
      leftMs: this.#clock.countLeftMs(),
      body: this.#state.turn?.targetBody,
      grant: this.#state.grant,
      recordEvent: (event) => this.#recordEvent(entry, event),
    }, () => this.#stopped !== undefined);
    const hadRoom = result.kind !== "not_run" && result.kind !== "unreachable";
    if (hadRoom) this.#dependencies.queue.recordRoom(this.#service);
    return result;
  }

  #planNextAttempt(
    entry: TrackedTarget,
    failed: FailedAttempt,
  ): ReturnType<typeof planNextStep> {
    const { metrics, targets } = this.#dependencies;
    this.#attempts.recordFailedAttempt(entry, failed);
    const history = this.#attempts.buildHistory(targets, {
      isRepeatable: this.#isRepeatable,
      maxTargets: this.#accepted.route.maxTargets,
      leftMs: this.#clock.countLeftMs(),
    });
    const next = planNextStep(failed, history);
    metrics.add("sends_failed");
    logRequest(this.#dependencies, this.#buildReport(), {
      event: EVENTS.SendFailed,
      target: entry.target.id,
      outcome: failed.kind,
      detail: failed.detail,
      next: next.kind,
    });
    return next;
  }

  /** Plans a second attempt; false if none is needed, or possible. */
  #planConfirmation(
    entry: TrackedTarget,
    { status, headers }: TargetResponse,
  ): boolean {
    const isNeeded = needsConfirmation({
      isRepeatable: this.#isRepeatable,
      isDelimited: isDelimited(status, headers),
      sends: this.#attempts.targetIds.length,
    });
    if (!isNeeded) return false;
    const detail = "the response's end isn't marked";
    const next = this.#planNextAttempt(entry, { kind: "broken", detail });
    if (next.kind !== "send") return false;
    this.#turns.onlyRunners = next.to === "runners";
    return true;
  }

  #recordEvent(entry: TrackedTarget, event: StreamEvent): void {
    const { progress } = this.#attempts;
    this.#state.turn?.addEvent(Buffer.from(event.data, "latin1"));
    const { requestId } = this.#accepted.fields;
    entry.recordFirstResponse(requestId, performance.now());
    recordBeginning(this.#dependencies, this.#accepted, {
      start: this.#attempts.start,
      target: entry.target,
    });
    if (progress.firstEventMs !== undefined) return;
    progress.firstEventMs = Math.round(this.#clock.countElapsedMs());
    this.#dependencies.metrics.record("first_event", progress.firstEventMs);
  }

  #stop(reason: StopReason): void {
    if (this.#stopped !== undefined) return;
    this.#stopped = reason;
    // A request that runs at most once and isn't a stream runs to its end.
    const isCancelled = reason !== "disconnected" || this.#isRepeatable ||
      this.#isStream;
    this.#accepted.caller.targetEnded = this.#runner.stop({ isCancelled });
    this.#turns.stop();
  }

  #buildStoppedOutcome(): RequestOutcome {
    if (this.#stopped === "disconnected") return { kind: "disconnected" };
    const wasSent = this.#attempts.targetIds.length > 0;
    const block = this.#blocks.find();
    if (this.#stopped === "blocked" && block !== undefined) {
      return buildBlockedOutcome(block, wasSent);
    }
    return wasSent ? buildTimeoutOutcome(this.#stopped) : this.#buildRefusal();
  }

  #buildRefusal(): RequestOutcome {
    const { targets } = this.#dependencies;
    return this.#attempts.mayHaveRun
      ? buildFailureOutcome("no target can continue the request")
      : buildRefusalOutcome(targets, this.#service);
  }

  #buildReport(): Parameters<typeof endRequest>[1] {
    return {
      accepted: this.#accepted,
      sends: this.#attempts,
      service: this.#service,
    };
  }
}

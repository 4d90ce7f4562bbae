/**
 * A caller that runs one program. It retries each call at a random entry VM,
 * under the same idempotency key, until a response settles the call.
 */
import {
  type Call,
  type CallerRequest,
  type CallerResponse,
  type CallOutcome,
  type ChatMessage,
  formatProgramId,
  type ProgramId,
  type ProgramSpec,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import type { VirtualFleet, VirtualRequest } from "../fleet/virtual_fleet.ts";
import type { RandomSource } from "./random_source.ts";

const REQUEST_TIMEOUT_MS = 6_000;
const RETRY_DELAY_MS = 400;
const POLL_INTERVAL_MS = 100;
const MAX_THINK_TIME_MS = 800;
const MAX_OVERLAP_DELAY_MS = 40;
const OVERLAP_PERCENT = 25;

/** One call, as recorded by its caller. */
export interface CallerCall {
  readonly programId: ProgramId;
  readonly key: string;
  readonly call: Call;
  readonly startedAtMs: number;
  endedAtMs?: number;
  /** Every request sent for the call, retries included. */
  readonly requests: VirtualRequest[];
  /** Absent until the call is settled. */
  outcome?: CallOutcome;
}

/** The program that a caller runs. */
export interface ProgramPlan {
  readonly number: number;
  readonly shard: ShardId;
  readonly callCount: number;
  readonly budgetMicros: number;
  /** Percentage of calls that are non-idempotent service calls. */
  readonly orderPercent: number;
}

/** The caller of one program. */
export class VirtualCaller {
  readonly spec: ProgramSpec;
  readonly calls: CallerCall[] = [];
  isEnded = false;
  readonly #fleet: VirtualFleet;
  readonly #random: RandomSource;
  readonly #plan: ProgramPlan;
  /** The conversation so far, which each model call sends again. */
  #messages: readonly ChatMessage[] = [];
  #openCalls = 0;
  #onEnd: () => void = () => undefined;
  #isRefused = false;
  #isEnding = false;

  constructor(fleet: VirtualFleet, random: RandomSource, plan: ProgramPlan) {
    this.#fleet = fleet;
    this.#random = random;
    this.#plan = plan;
    this.spec = {
      programId: formatProgramId(plan.shard, `c${plan.number}`),
      partner: plan.number % 2 === 0 ? "zincir" : "okonkwo",
      agent: "quote",
      programClass: "short",
      budgetMicros: plan.budgetMicros,
      parallel: false,
    };
  }

  /** Creates the program and runs its calls; `onEnd` is called at its end. */
  start(onEnd: () => void): void {
    this.#onEnd = onEnd;
    const request = { kind: "create_program", spec: this.spec } as const;
    this.#settle(request, [], () => this.#startNext());
  }

  /** Starts the next call, sometimes before the previous call has ended. */
  #startNext(): void {
    if (this.calls.length >= this.#plan.callCount || this.#isRefused) {
      if (this.#openCalls === 0) this.#end();
      return;
    }
    const record = this.#createRecord();
    this.calls.push(record);
    this.#openCalls += 1;
    const isOverlapped = this.#random.isHit(OVERLAP_PERCENT);
    const { programId, key, call } = record;
    const request = { kind: "run_call", programId, key, call } as const;
    this.#settle({ ...request, fromOffset: 0 }, record.requests, (response) => {
      this.#endCall(record, response);
      if (!isOverlapped) this.#startLater(MAX_THINK_TIME_MS);
      else if (this.#isLast()) this.#end();
    });
    if (isOverlapped) this.#startLater(MAX_OVERLAP_DELAY_MS);
  }

  #startLater(maxMs: number): void {
    const pauseMs = this.#random.chooseInteger(1, maxMs);
    this.#fleet.clock.add(pauseMs, () => this.#startNext());
  }

  #createRecord(): CallerCall {
    const { programId } = this.spec;
    const key = `${programId}-k${this.calls.length + 1}`;
    const call = this.#buildCall(key);
    const startedAtMs = this.#fleet.clock.nowMs;
    return { programId, key, call, startedAtMs, requests: [] };
  }

  #endCall(record: CallerCall, response: CallerResponse): void {
    this.#openCalls -= 1;
    record.endedAtMs = this.#fleet.clock.nowMs;
    if (response.kind === "refused") this.#isRefused = true;
    if (response.kind !== "outcome") return;
    record.outcome = response.outcome;
    if (response.outcome.status !== "completed") return;
    if (record.call.kind !== "model") return;
    const { text } = response.outcome;
    this.#messages = [
      ...record.call.messages,
      { role: "assistant", content: text },
    ];
  }

  #isLast(): boolean {
    const isDone = this.calls.length >= this.#plan.callCount ||
      this.#isRefused;
    return isDone && this.#openCalls === 0;
  }

  #end(): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    const { programId } = this.spec;
    this.#settle({ kind: "end_program", programId }, [], () => {
      this.isEnded = true;
      this.#onEnd();
    });
  }

  /** Builds a call whose content includes its key, to identify its runs. */
  #buildCall(key: string): Call {
    if (this.#random.isHit(this.#plan.orderPercent)) {
      const body = JSON.stringify({ key });
      const operation = "capture";
      const service = "stock";
      return { kind: "service", service, operation, body, idempotent: false };
    }
    const turn = { role: "user", content: `turn ${key}` } as const;
    const messages = [...this.#messages, turn];
    return { kind: "model", model: "loom", messages, maxTokens: 80 };
  }

  /** Sends a request, and retries it until a response settles it. */
  #settle(
    request: CallerRequest,
    sent: VirtualRequest[],
    onSettled: (response: CallerResponse) => void,
  ): void {
    const vmId = this.#chooseEntry();
    if (vmId === undefined) return this.#settleLater(request, sent, onSettled);
    const current = this.#fleet.send(vmId, request);
    sent.push(current);
    this.#wait(current, () => {
      const response = current.responses.at(-1);
      if (response === undefined || !isSettled(response)) {
        return this.#settleLater(request, sent, onSettled);
      }
      onSettled(response);
    });
  }

  #settleLater(
    request: CallerRequest,
    sent: VirtualRequest[],
    onSettled: (response: CallerResponse) => void,
  ): void {
    const { clock } = this.#fleet;
    clock.add(RETRY_DELAY_MS, () => this.#settle(request, sent, onSettled));
  }

  /** Waits until the request or its entry node ends, or for a timeout. */
  #wait(request: VirtualRequest, onEnd: () => void): void {
    const { clock } = this.#fleet;
    const isOver = request.endedAtMs !== undefined ||
      this.#fleet.getNode(request.vmId).isEnded ||
      clock.nowMs - request.sentAtMs >= REQUEST_TIMEOUT_MS;
    if (isOver) return onEnd();
    clock.add(POLL_INTERVAL_MS, () => this.#wait(request, onEnd));
  }

  #chooseEntry(): VmId | undefined {
    const open = [...this.#fleet.nodes.values()].filter((node) =>
      !node.isEnded &&
      node.core.checkReady(this.#fleet.clock.nowMs).isOk()
    );
    if (open.length === 0) return undefined;
    return this.#random.choose(open).spec.vmId;
  }
}

/** Whether a response settles a request. Unsettled requests are retried. */
function isSettled(response: CallerResponse): boolean {
  switch (response.kind) {
    case "program":
    case "history":
      return true;
    case "outcome":
      return response.outcome.status !== "not_run";
    case "refused":
      return response.failure.code < 4_000;
    case "running":
    case "text":
      return false;
  }
}

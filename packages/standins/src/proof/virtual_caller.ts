/**
 * A caller that runs one program: call after call, repeated under the same
 * idempotency key at other entry VMs until an answer settles it.
 */
import {
  type Call,
  type CallerAnswer,
  type CallerRequest,
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

const REPEAT_AFTER_MS = 6_000;
const RETRY_AFTER_MS = 400;
const POLL_MS = 100;
const MAX_PAUSE_MS = 800;
const FOLLOWER_MS = 40;
const FOLLOWER_PERCENT = 25;

/** One call as its caller saw it. */
export interface CallerCall {
  readonly programId: ProgramId;
  readonly key: string;
  readonly call: Call;
  readonly startedAtMs: number;
  endedAtMs?: number;
  /** Every request that was sent for the call. */
  readonly requests: VirtualRequest[];
  /** The settled outcome. */
  outcome?: CallOutcome;
}

/** What a caller runs. */
export interface CallerPlan {
  readonly number: number;
  readonly shard: ShardId;
  readonly callCount: number;
  readonly budgetMicros: number;
  /** Calls in a hundred that are non-idempotent orders. */
  readonly orderPercent: number;
}

/** The caller of one program. */
export class VirtualCaller {
  readonly spec: ProgramSpec;
  readonly calls: CallerCall[] = [];
  isEnded = false;
  readonly #fleet: VirtualFleet;
  readonly #random: RandomSource;
  readonly #plan: CallerPlan;
  /** The turns so far, which each model call repeats. */
  #messages: readonly ChatMessage[] = [];
  #open = 0;
  #then: () => void = () => undefined;
  #isRefused = false;
  #isEnding = false;

  constructor(fleet: VirtualFleet, random: RandomSource, plan: CallerPlan) {
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

  /** Creates the program and goes on from there; `then` runs at its end. */
  start(then: () => void): void {
    this.#then = then;
    const request = { kind: "create_program", spec: this.spec } as const;
    this.#settle(request, [], () => this.#startNext());
  }

  /** Starts the next call, sometimes before the one ahead has ended. */
  #startNext(): void {
    if (this.calls.length >= this.#plan.callCount || this.#isRefused) {
      if (this.#open === 0) this.#end();
      return;
    }
    const record = this.#createRecord();
    this.calls.push(record);
    this.#open += 1;
    const hasFollower = this.#random.isHit(FOLLOWER_PERCENT);
    const { programId, key, call } = record;
    const request = { kind: "run_call", programId, key, call } as const;
    this.#settle({ ...request, fromOffset: 0 }, record.requests, (answer) => {
      this.#endCall(record, answer);
      if (!hasFollower) this.#startLater(MAX_PAUSE_MS);
      else if (this.#isLast()) this.#end();
    });
    if (hasFollower) this.#startLater(FOLLOWER_MS);
  }

  #startLater(mostMs: number): void {
    const pauseMs = this.#random.take(1, mostMs);
    this.#fleet.clock.add(pauseMs, () => this.#startNext());
  }

  #createRecord(): CallerCall {
    const { programId } = this.spec;
    const key = `${programId}-k${this.calls.length + 1}`;
    const call = this.#buildCall(key);
    const startedAtMs = this.#fleet.clock.nowMs;
    return { programId, key, call, startedAtMs, requests: [] };
  }

  #endCall(record: CallerCall, answer: CallerAnswer): void {
    this.#open -= 1;
    record.endedAtMs = this.#fleet.clock.nowMs;
    if (answer.kind === "refused") this.#isRefused = true;
    if (answer.kind !== "outcome") return;
    record.outcome = answer.outcome;
    if (answer.outcome.status !== "completed") return;
    if (record.call.kind !== "model") return;
    const { text } = answer.outcome;
    this.#messages = [
      ...record.call.messages,
      { role: "assistant", content: text },
    ];
  }

  #isLast(): boolean {
    const isDone = this.calls.length >= this.#plan.callCount ||
      this.#isRefused;
    return isDone && this.#open === 0;
  }

  #end(): void {
    if (this.#isEnding) return;
    this.#isEnding = true;
    const { programId } = this.spec;
    this.#settle({ kind: "end_program", programId }, [], () => {
      this.isEnded = true;
      this.#then();
    });
  }

  /** Each call's content names it, so that runs can be told apart. */
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

  /** Sends a request again until it has a final answer that settles it. */
  #settle(
    request: CallerRequest,
    sent: VirtualRequest[],
    then: (answer: CallerAnswer) => void,
  ): void {
    const vmId = this.#chooseEntry();
    if (vmId === undefined) return this.#settleLater(request, sent, then);
    const current = this.#fleet.send(vmId, request);
    sent.push(current);
    this.#wait(current, () => {
      const answer = current.answers.at(-1);
      if (answer === undefined || !isSettled(answer)) {
        return this.#settleLater(request, sent, then);
      }
      then(answer);
    });
  }

  #settleLater(
    request: CallerRequest,
    sent: VirtualRequest[],
    then: (answer: CallerAnswer) => void,
  ): void {
    const { clock } = this.#fleet;
    clock.add(RETRY_AFTER_MS, () => this.#settle(request, sent, then));
  }

  /** Waits for the end of a request, the end of its entry, or a timeout. */
  #wait(sent: VirtualRequest, then: () => void): void {
    const { clock } = this.#fleet;
    const isOver = sent.endedAtMs !== undefined ||
      this.#fleet.getNode(sent.vmId).isEnded ||
      clock.nowMs - sent.sentAtMs >= REPEAT_AFTER_MS;
    if (isOver) return then();
    clock.add(POLL_MS, () => this.#wait(sent, then));
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

/** Whether an answer settles a request; others are sent again. */
function isSettled(answer: CallerAnswer): boolean {
  switch (answer.kind) {
    case "program":
    case "history":
      return true;
    case "outcome":
      return answer.outcome.status !== "not_run";
    case "refused":
      return answer.failure.code < 4_000;
    case "running":
    case "text":
      return false;
  }
}

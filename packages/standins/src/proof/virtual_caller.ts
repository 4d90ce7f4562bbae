/**
 * A caller that runs one program: call after call, repeated under the same
 * idempotency key at other entry VMs until an answer settles it.
 */
import {
  type Call,
  type CallerAnswer,
  type CallerRequest,
  type CallOutcome,
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
  #text = "";

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

  /** Creates the program and goes on from there. */
  start(): void {
    const request = { kind: "create_program", spec: this.spec } as const;
    this.#settle(request, [], () => this.#startNext());
  }

  #startNext(): void {
    if (this.calls.length >= this.#plan.callCount) return this.#end();
    const number = this.calls.length + 1;
    const { programId } = this.spec;
    const key = `${programId}-k${number}`;
    const call = this.#buildCall(key);
    const startedAtMs = this.#fleet.clock.nowMs;
    const requests: VirtualRequest[] = [];
    const record: CallerCall = { programId, key, call, startedAtMs, requests };
    this.calls.push(record);
    const request = { kind: "run_call", programId, key, call } as const;
    this.#settle({ ...request, fromOffset: 0 }, requests, (answer) => {
      record.endedAtMs = this.#fleet.clock.nowMs;
      if (answer.kind === "outcome") record.outcome = answer.outcome;
      if (answer.kind === "refused") return this.#end();
      const pauseMs = this.#random.take(1, MAX_PAUSE_MS);
      this.#fleet.clock.add(pauseMs, () => this.#startNext());
    });
  }

  #end(): void {
    const { programId } = this.spec;
    this.#settle({ kind: "end_program", programId }, [], () => {
      this.isEnded = true;
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
    this.#text += `turn ${key} `;
    const messages = [{ role: "user", content: this.#text } as const];
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

/**
 * The entry role: takes requests of callers, finds the owner, forwards,
 * repeats what gets no answer, and relays the answer.
 *
 * Repeats are safe because the owner joins requests under one idempotency key.
 * The entry keeps nothing that matters: a caller that loses it repeats the
 * request at another entry VM.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  type CallerAnswer,
  type CallerRequest,
  checkNever,
  type Effect,
  type OwnerMessage,
  parseShardOf,
  type ProgramId,
  type RequestId,
  type ShardAssignment,
  type ShardId,
  type VmId,
} from "@camphorlock/types";
import {
  applyText,
  checkOutcome,
  createOpenRequest,
  type OpenRequest,
} from "./open_request.ts";

/** What the entry is told. */
export type EntryInput =
  | {
    readonly kind: "caller_request";
    readonly requestId: RequestId;
    readonly request: CallerRequest;
    /** Whether the caller may have sent the same request before. */
    readonly mayBeRepeat: boolean;
  }
  | { readonly kind: "caller_gone"; readonly requestId: RequestId }
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: OwnerMessage;
  }
  | { readonly kind: "tick" };

/** Periods of the entry role, in milliseconds. */
export interface EntryLimits {
  /** Silence of an owner after which the request is sent again. */
  readonly resendMs: number;
  /** Silence of every owner after which the request is given up. */
  readonly giveUpMs: number;
}

/** The periods used unless the settings say otherwise. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  resendMs: 1_000,
  giveUpMs: 30_000,
};

/** Identity and parts of the entry. */
export interface EntryOptions {
  readonly self: VmId;
  readonly findOwner: (shard: ShardId) => ShardAssignment | undefined;
  readonly limits: EntryLimits;
}

/** The state machine of the entry role. */
export class Entry {
  readonly #options: EntryOptions;
  readonly #open = new Map<RequestId, OpenRequest>();
  #effects: Effect[] = [];
  #nowMs = 0;

  constructor(options: EntryOptions) {
    this.#options = options;
  }

  /** The requests that wait for an answer. */
  get openCount(): number {
    return this.#open.size;
  }

  /** Handles one input and returns what has to be done. */
  handle(input: EntryInput, nowMs: number): Effect[] {
    this.#nowMs = nowMs;
    this.#effects = [];
    this.#handleInput(input);
    return this.#effects;
  }

  #handleInput(input: EntryInput): void {
    switch (input.kind) {
      case "caller_request":
        return this.#openRequest(input);
      case "caller_gone":
        return this.#closeRequest(input.requestId);
      case "peer":
        return this.#handlePeer(input.from, input.message);
      case "tick":
        return this.#handleTick();
      default:
        return checkNever(input);
    }
  }

  #openRequest(
    input: Extract<EntryInput, { kind: "caller_request" }>,
  ): void {
    const { requestId, request } = input;
    const programId = getProgramId(request);
    const shard = parseShardOf(programId);
    if (shard === undefined) {
      const detail = `program id ${programId}`;
      return this.#refuse(requestId, createFailure("ProgramIdInvalid", detail));
    }
    const open = createOpenRequest(input, { shard, nowMs: this.#nowMs });
    this.#open.set(requestId, open);
    this.#sendRequest(open);
  }

  #closeRequest(requestId: RequestId): void {
    const open = this.#open.get(requestId);
    this.#open.delete(requestId);
    if (open?.sentTo === undefined) return;
    this.#send(open.sentTo, { kind: "caller_gone", requestId });
  }

  #handlePeer(from: VmId, message: OwnerMessage): void {
    switch (message.kind) {
      case "owner_answer":
        return this.#handleAnswer(from, message);
      case "not_owner":
        return this.#handleNotOwner(from, message.requestId);
      case "owner_request":
      case "caller_gone":
        return;
      default:
        return checkNever(message);
    }
  }

  #handleAnswer(
    from: VmId,
    message: Extract<OwnerMessage, { kind: "owner_answer" }>,
  ): void {
    const open = this.#open.get(message.requestId);
    if (open === undefined) {
      const { requestId } = message;
      return this.#send(from, { kind: "caller_gone", requestId });
    }
    open.lastHeardMs = this.#nowMs;
    this.#sendAnswer(open, message.answer);
  }

  #sendAnswer(open: OpenRequest, answer: CallerAnswer): void {
    switch (answer.kind) {
      case "text":
        return this.#sendText(open, answer);
      case "outcome":
        return this.#sendOutcome(open, answer);
      case "running":
        if (open.request.kind !== "show_call") return;
        return this.#closeCall(open, answer);
      case "program":
      case "history":
      case "refused":
        return this.#closeCall(open, answer);
      default:
        return checkNever(answer);
    }
  }

  #sendText(
    open: OpenRequest,
    answer: Extract<CallerAnswer, { kind: "text" }>,
  ): void {
    const applied = applyText(open, answer);
    switch (applied.kind) {
      case "new":
        return this.#answer(open.requestId, {
          ...answer,
          offset: applied.offset,
          text: applied.text,
        });
      case "gap":
        return this.#sendRequest(open);
      case "known":
        return;
      case "differs":
        return this.#closeCall(open, createCutAnswer("the text changed"));
      default:
        return checkNever(applied);
    }
  }

  #sendOutcome(
    open: OpenRequest,
    answer: Extract<CallerAnswer, { kind: "outcome" }>,
  ): void {
    const problem = checkOutcome(open, answer);
    if (problem !== undefined) {
      return this.#closeCall(open, createCutAnswer(problem));
    }
    const { outcome, callId } = answer;
    if (outcome.status === "completed") {
      const text = outcome.text.slice(open.offset);
      const { offset } = open;
      if (text !== "") {
        this.#answer(open.requestId, { kind: "text", callId, offset, text });
      }
    }
    this.#closeCall(open, answer);
  }

  /** The owner has moved: asks the present one at once if it's known. */
  #handleNotOwner(from: VmId, requestId: RequestId): void {
    const open = this.#open.get(requestId);
    if (open === undefined || open.sentTo !== from) return;
    open.sentTo = undefined;
    const owner = this.#options.findOwner(open.shard);
    if (owner !== undefined && owner.owner !== from) this.#sendRequest(open);
  }

  #handleTick(): void {
    for (const open of [...this.#open.values()]) this.#check(open);
  }

  #check(open: OpenRequest): void {
    const { resendMs, giveUpMs } = this.#options.limits;
    if (this.#nowMs - open.lastHeardMs >= giveUpMs) {
      return this.#endUnanswered(open);
    }
    const owner = this.#options.findOwner(open.shard);
    const hasMoved = owner !== undefined && owner.owner !== open.sentTo;
    const silentMs = this.#nowMs - Math.max(open.lastHeardMs, open.sentAtMs);
    if (hasMoved || silentMs >= resendMs) this.#sendRequest(open);
  }

  #sendRequest(open: OpenRequest): void {
    const owner = this.#options.findOwner(open.shard);
    if (owner === undefined) return;
    open.sentTo = owner.owner;
    open.sentAtMs = this.#nowMs;
    open.wasSent = true;
    const { requestId, shard } = open;
    const request = addOffset(open);
    const message = { kind: "owner_request", requestId, shard, request };
    this.#send(owner.owner, message as OwnerMessage);
  }

  /** Says "not run" only of what was never sent and can't be a repeat. */
  #endUnanswered(open: OpenRequest): void {
    const detail = `shard ${open.shard}`;
    const name = open.wasSent || open.mayBeRepeat
      ? "AnswerUncertain"
      : "OwnerUnreachable";
    const failure = createFailure(name, detail, this.#options.limits.resendMs);
    this.#closeCall(open, { kind: "refused", failure });
  }

  #closeCall(open: OpenRequest, answer: CallerAnswer): void {
    this.#open.delete(open.requestId);
    this.#answer(open.requestId, answer);
  }

  #refuse(requestId: RequestId, failure: Failure): void {
    this.#answer(requestId, { kind: "refused", failure });
  }

  #answer(requestId: RequestId, answer: CallerAnswer): void {
    this.#effects.push({ kind: "answer_caller", requestId, answer });
  }

  #send(to: VmId, message: OwnerMessage): void {
    this.#effects.push({ kind: "send_peer", to, message });
  }
}

/** Gets the program that a request is about. */
function getProgramId(request: CallerRequest): ProgramId {
  return request.kind === "create_program"
    ? request.spec.programId
    : request.programId;
}

/** Adds what the caller already has to a call that is sent again. */
function addOffset(open: OpenRequest): CallerRequest {
  if (open.request.kind !== "run_call") return open.request;
  return { ...open.request, fromOffset: open.offset };
}

function createCutAnswer(detail: string): CallerAnswer {
  return { kind: "refused", failure: createFailure("AnswerCut", detail) };
}

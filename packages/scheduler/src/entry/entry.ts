/**
 * The entry role: receives requests of callers, forwards them to the owner of
 * the program's shard, resends those without a response, and relays responses.
 *
 * Resending is safe because the owner deduplicates requests by idempotency key.
 * The entry keeps no durable state: a caller that loses its connection repeats
 * the request at another entry VM.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  type CallerRequest,
  type CallerResponse,
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

/** The inputs of the entry role. */
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
  /** Time without a response from the owner after which a request is resent. */
  readonly resendMs: number;
  /** Time without a response from any owner after which a request times out. */
  readonly requestTimeoutMs: number;
}

/** The default periods. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  resendMs: 1_000,
  requestTimeoutMs: 30_000,
};

/** The node, the lookup of owners, and the periods of the entry role. */
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

  /** The number of requests that wait for a response. */
  get openCount(): number {
    return this.#open.size;
  }

  /** Handles one input and returns the resulting effects. */
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
        return this.#cancelRequest(input.requestId);
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

  #cancelRequest(requestId: RequestId): void {
    const open = this.#open.get(requestId);
    this.#open.delete(requestId);
    if (open?.sentTo === undefined) return;
    this.#send(open.sentTo, { kind: "caller_gone", requestId });
  }

  #handlePeer(from: VmId, message: OwnerMessage): void {
    switch (message.kind) {
      case "owner_answer":
        return this.#handleResponse(from, message);
      case "not_owner":
        return this.#handleNotOwner(from, message.requestId);
      case "owner_request":
      case "caller_gone":
        return;
      default:
        return checkNever(message);
    }
  }

  #handleResponse(
    from: VmId,
    message: Extract<OwnerMessage, { kind: "owner_answer" }>,
  ): void {
    const open = this.#open.get(message.requestId);
    if (open === undefined) {
      const { requestId } = message;
      return this.#send(from, { kind: "caller_gone", requestId });
    }
    open.lastSeenMs = this.#nowMs;
    this.#forwardResponse(open, message.answer);
  }

  #forwardResponse(open: OpenRequest, response: CallerResponse): void {
    switch (response.kind) {
      case "text":
        return this.#forwardText(open, response);
      case "outcome":
        return this.#forwardOutcome(open, response);
      case "running":
        if (open.request.kind !== "show_call") return;
        return this.#endRequest(open, response);
      case "program":
      case "history":
      case "refused":
        return this.#endRequest(open, response);
      default:
        return checkNever(response);
    }
  }

  #forwardText(
    open: OpenRequest,
    response: Extract<CallerResponse, { kind: "text" }>,
  ): void {
    const applied = applyText(open, response);
    switch (applied.kind) {
      case "new":
        return this.#answer(open.requestId, {
          ...response,
          offset: applied.offset,
          text: applied.text,
        });
      case "gap":
        return this.#sendRequest(open);
      case "known":
        return;
      case "differs":
        return this.#endRequest(open, createMismatch("relayed text differs"));
      default:
        return checkNever(applied);
    }
  }

  #forwardOutcome(
    open: OpenRequest,
    response: Extract<CallerResponse, { kind: "outcome" }>,
  ): void {
    const problem = checkOutcome(open, response);
    if (problem !== undefined) {
      return this.#endRequest(open, createMismatch(problem));
    }
    const { outcome, callId } = response;
    if (outcome.status === "completed") {
      const text = outcome.text.slice(open.offset);
      const { offset } = open;
      if (text !== "") {
        this.#answer(open.requestId, { kind: "text", callId, offset, text });
      }
    }
    this.#endRequest(open, response);
  }

  /** Resends a request at once if the shard's current owner is another node. */
  #handleNotOwner(from: VmId, requestId: RequestId): void {
    const open = this.#open.get(requestId);
    if (open === undefined || open.sentTo !== from) return;
    open.sentTo = undefined;
    const owner = this.#options.findOwner(open.shard);
    if (owner !== undefined && owner.owner !== from) this.#sendRequest(open);
  }

  #handleTick(): void {
    for (const open of [...this.#open.values()]) this.#checkRequest(open);
  }

  #checkRequest(open: OpenRequest): void {
    const { resendMs, requestTimeoutMs } = this.#options.limits;
    if (this.#nowMs - open.lastSeenMs >= requestTimeoutMs) {
      return this.#expireRequest(open);
    }
    const owner = this.#options.findOwner(open.shard);
    const hasMoved = owner !== undefined && owner.owner !== open.sentTo;
    const silentMs = this.#nowMs - Math.max(open.lastSeenMs, open.sentAtMs);
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

  /**
   * Ends a request that timed out. Only a request that was never sent and can't
   * be a repeat is certain not to have run; any other outcome is uncertain.
   */
  #expireRequest(open: OpenRequest): void {
    const detail = `shard ${open.shard}`;
    const name = open.wasSent || open.mayBeRepeat
      ? "AnswerUncertain"
      : "OwnerUnreachable";
    const failure = createFailure(name, detail, this.#options.limits.resendMs);
    this.#endRequest(open, { kind: "refused", failure });
  }

  #endRequest(open: OpenRequest, response: CallerResponse): void {
    this.#open.delete(open.requestId);
    this.#answer(open.requestId, response);
  }

  #refuse(requestId: RequestId, failure: Failure): void {
    this.#answer(requestId, { kind: "refused", failure });
  }

  #answer(requestId: RequestId, response: CallerResponse): void {
    this.#effects.push({ kind: "answer_caller", requestId, answer: response });
  }

  #send(to: VmId, message: OwnerMessage): void {
    this.#effects.push({ kind: "send_peer", to, message });
  }
}

/** Gets the program that a request refers to. */
function getProgramId(request: CallerRequest): ProgramId {
  return request.kind === "create_program"
    ? request.spec.programId
    : request.programId;
}

/** Adds the offset up to which the caller has received the text of a call. */
function addOffset(open: OpenRequest): CallerRequest {
  if (open.request.kind !== "run_call") return open.request;
  return { ...open.request, fromOffset: open.offset };
}

function createMismatch(detail: string): CallerResponse {
  return { kind: "refused", failure: createFailure("AnswerCut", detail) };
}

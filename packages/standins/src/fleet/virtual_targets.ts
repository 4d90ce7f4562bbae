/**
 * Engines and services under virtual time, for tests of complete nodes.
 *
 * Targets record their own runs, which the history checker compares with the
 * responses to callers. The response to a call is a function of the call.
 */
import type {
  AttemptEvent,
  AttemptId,
  AttemptOrder,
  Call,
  ProgramId,
  TargetId,
  TargetOrderResult,
  Usage,
} from "@camphorlock/types";
import {
  buildCompletionText,
  countTokens,
} from "../engine_server/completion_text.ts";
import { buildOperationText } from "../service/serve_service.ts";
import type { VirtualClock } from "./virtual_clock.ts";

const LINK_DELAY_MS = 1;
const TOKEN_MS = 5;
const FIRST_TOKEN_MS = 20;
const MIN_SERVICE_MS = 10;
const SERVICE_RANGE_MS = 1_200;
const TOKENS_PER_EVENT = 8;
/** A service that can't look up the outcome of an earlier request. */
const SERVICE_WITHOUT_LOOKUP = "service-2";

/** How a target handles requests. */
export type TargetMode =
  | "serving"
  /** Refuses connections, so that no request is sent. */
  | "down"
  /** Accepts requests and never responds. */
  | "silent"
  /** Runs requests and breaks the connection before the response. */
  | "breaking";

/** One run of a call, as recorded by its target. */
export interface TargetRun {
  readonly targetId: TargetId;
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
  readonly call: Call;
  readonly atMs: number;
  endedAtMs?: number;
  text?: string;
}

/** Receives the events of an attempt. */
export type AttemptListener = (event: AttemptEvent) => void;

interface Stream {
  readonly run: TargetRun;
  readonly events: AttemptEvent[];
  readonly progressTimeoutMs: number;
  listeners: AttemptListener[];
  isCancelled: boolean;
  /** Whether the target accepted the request but doesn't process it. */
  isHung: boolean;
}

/** All engines and services of a virtual fleet. */
export class VirtualTargets {
  readonly runs: TargetRun[] = [];
  readonly #clock: VirtualClock;
  readonly #modes = new Map<TargetId, TargetMode>();
  readonly #streams = new Map<AttemptId, Stream>();
  /** Programs for which each engine holds cache memory. */
  readonly #heldPrograms = new Map<TargetId, Set<ProgramId>>();

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  /** Sets how a target handles requests. */
  setMode(targetId: TargetId, mode: TargetMode): void {
    this.#modes.set(targetId, mode);
  }

  /** Lists the programs for which a target holds memory. */
  listHeldPrograms(targetId: TargetId): ProgramId[] {
    return [...this.#heldPrograms.get(targetId) ?? []];
  }

  /** Starts an attempt after the link delay. */
  start(order: AttemptOrder, listener: AttemptListener): void {
    this.#clock.add(LINK_DELAY_MS, () => this.#receive(order, listener));
  }

  /** Reconnects to an attempt and replays its events from the first. */
  resume(order: AttemptOrder, listener: AttemptListener): void {
    this.#clock.add(LINK_DELAY_MS, () => {
      const stream = this.#streams.get(order.attemptId);
      const mode = this.#getMode(order.targetId);
      if (mode === "silent" || stream?.isHung === true) {
        return this.#endAfterTimeout(order.progressTimeoutMs, listener);
      }
      if (stream === undefined || mode !== "serving" || hasNoLookup(order)) {
        return listener({ kind: "broken", detail: "unknown attempt" });
      }
      for (const event of stream.events) listener(event);
      stream.listeners = [listener];
    });
  }

  /** Cancels an attempt after the link delay. */
  cancel(attemptId: AttemptId): void {
    this.#clock.add(LINK_DELAY_MS, () => {
      const stream = this.#streams.get(attemptId);
      if (stream !== undefined) stream.isCancelled = true;
    });
  }

  /** Releases the memory that a target holds for a program. */
  release(
    targetId: TargetId,
    programId: ProgramId,
    onResult: (result: TargetOrderResult) => void,
  ): void {
    this.#clock.add(LINK_DELAY_MS, () => {
      const mode = this.#getMode(targetId);
      if (mode === "silent") return;
      if (mode === "down") {
        return onResult({ kind: "failed", detail: "connection refused" });
      }
      this.#heldPrograms.get(targetId)?.delete(programId);
      onResult({ kind: "done" });
    });
  }

  #receive(order: AttemptOrder, listener: AttemptListener): void {
    const mode = this.#getMode(order.targetId);
    if (mode === "down") {
      return listener({ kind: "not_sent", detail: "connection refused" });
    }
    const run: TargetRun = {
      targetId: order.targetId,
      attemptId: order.attemptId,
      programId: order.programId,
      call: order.call,
      atMs: this.#clock.nowMs,
    };
    this.runs.push(run);
    const stream: Stream = {
      run,
      events: [],
      listeners: [listener],
      progressTimeoutMs: order.progressTimeoutMs,
      isCancelled: false,
      isHung: mode === "silent",
    };
    this.#streams.set(order.attemptId, stream);
    if (order.call.kind === "model") this.#addHeldProgram(order);
    if (mode === "silent") {
      return this.#endAfterTimeout(order.progressTimeoutMs, listener);
    }
    if (mode === "breaking") stream.listeners = [];
    if (mode === "breaking") {
      this.#endAfterTimeout(order.progressTimeoutMs, listener);
    }
    if (order.call.kind === "model") this.#runModel(order, stream);
    else this.#runService(order.call, stream);
  }

  #runModel(order: AttemptOrder, stream: Stream): void {
    const { call } = order;
    if (call.kind !== "model") return;
    const { text, ends } = buildCompletionText(call.messages, call.maxTokens);
    const prompt = call.messages.map((message) => message.content).join("");
    const usage: Usage = {
      promptTokens: countTokens(prompt),
      cachedTokens: 0,
      completionTokens: ends.length,
    };
    const from = order.prefixText.length;
    this.#sendTokens({ text, ends, from, usage }, stream);
  }

  #sendTokens(response: GeneratedResponse, stream: Stream): void {
    const { text, ends, usage } = response;
    let from = response.from;
    let delayMs = FIRST_TOKEN_MS;
    for (let at = TOKENS_PER_EVENT; at < ends.length; at += TOKENS_PER_EVENT) {
      const end = ends[at - 1] ?? text.length;
      if (end <= from) continue;
      const event: AttemptEvent = {
        kind: "text",
        offset: from,
        text: text.slice(from, end),
        tokens: TOKENS_PER_EVENT,
      };
      from = end;
      this.#clock.add(delayMs, () => this.#sendEvent(stream, event));
      delayMs += TOKENS_PER_EVENT * TOKEN_MS;
    }
    this.#clock.add(delayMs, () => {
      this.#end(stream, { kind: "completed", text, usage });
    });
  }

  #runService(call: Extract<Call, { kind: "service" }>, stream: Stream): void {
    const text = buildOperationText(call.operation, call.body);
    const usage = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
    this.#clock.add(computeServiceMs(text), () => {
      this.#end(stream, { kind: "completed", text, usage });
    });
  }

  #end(
    stream: Stream,
    event: Extract<AttemptEvent, { kind: "completed" }>,
  ): void {
    if (stream.isCancelled) return;
    stream.run.endedAtMs = this.#clock.nowMs;
    stream.run.text = event.text;
    this.#sendEvent(stream, event);
  }

  #sendEvent(stream: Stream, event: AttemptEvent): void {
    if (stream.isCancelled) return;
    stream.events.push(event);
    if (this.#getMode(stream.run.targetId) === "silent") {
      return this.#stopDelivery(stream);
    }
    for (const listener of stream.listeners) listener(event);
  }

  /** Sends the clients of a stream nothing more, so that they time out. */
  #stopDelivery(stream: Stream): void {
    const listeners = stream.listeners.splice(0);
    for (const listener of listeners) {
      this.#endAfterTimeout(stream.progressTimeoutMs, listener);
    }
  }

  /** Ends an attempt at the client's progress timeout. */
  #endAfterTimeout(timeoutMs: number, listener: AttemptListener): void {
    this.#clock.add(timeoutMs, () => {
      listener({ kind: "broken", detail: "no progress" });
    });
  }

  #addHeldProgram(order: AttemptOrder): void {
    const held = this.#heldPrograms.get(order.targetId) ?? new Set();
    held.add(order.programId);
    this.#heldPrograms.set(order.targetId, held);
  }

  #getMode(targetId: TargetId): TargetMode {
    return this.#modes.get(targetId) ?? "serving";
  }
}

/** Whether the target can't look up the outcome of an attempt. */
function hasNoLookup(order: AttemptOrder): boolean {
  return order.call.kind === "service" &&
    order.targetId === SERVICE_WITHOUT_LOOKUP;
}

/** Computes the duration of a service call from a hash of its response. */
function computeServiceMs(text: string): number {
  let hash = 0;
  for (const letter of text) hash = (hash * 31 + letter.charCodeAt(0)) >>> 0;
  return MIN_SERVICE_MS + hash % SERVICE_RANGE_MS;
}

interface GeneratedResponse {
  readonly text: string;
  readonly ends: readonly number[];
  /** Number of characters that an earlier attempt already produced. */
  readonly from: number;
  readonly usage: Usage;
}

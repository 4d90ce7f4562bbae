/**
 * Engines and services under virtual time, for tests of whole nodes.
 *
 * Each keeps its own record of what it ran, which the history checker compares
 * with what callers were told. The answer to a call is derived from the call.
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
import { buildAnswerText, countTokens } from "../engine_server/answer_text.ts";
import { buildOperationText } from "../service/serve_service.ts";
import type { VirtualClock } from "./virtual_clock.ts";

const LINK_MS = 1;
const TOKEN_MS = 5;
const FIRST_TOKEN_MS = 20;
const SHORTEST_SERVICE_MS = 10;
const SERVICE_SPREAD_MS = 1_200;
const TOKENS_PER_EVENT = 8;
/** A service that can't tell the outcome of an earlier request. */
const MUTE_SERVICE = "service-2";

/** How a target treats what arrives. */
export type TargetMode =
  | "serving"
  /** Refuses connections: nothing is sent. */
  | "down"
  /** Takes requests and never answers. */
  | "silent"
  /** Runs requests and breaks the connection before the answer. */
  | "breaking";

/** One run of a call on a target, as the target saw it. */
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
export type EventListener = (event: AttemptEvent) => void;

interface Stream {
  readonly run: TargetRun;
  readonly events: AttemptEvent[];
  readonly progressTimeoutMs: number;
  listeners: EventListener[];
  isCancelled: boolean;
  /** Whether the target took the request and does nothing about it. */
  isStuck: boolean;
}

/** All targets of a virtual fleet. */
export class VirtualTargets {
  readonly runs: TargetRun[] = [];
  readonly #clock: VirtualClock;
  readonly #modes = new Map<TargetId, TargetMode>();
  readonly #streams = new Map<AttemptId, Stream>();
  /** Programs that each engine holds cache memory for. */
  readonly #held = new Map<TargetId, Set<ProgramId>>();

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  /** Sets how a target treats what arrives. */
  setMode(targetId: TargetId, mode: TargetMode): void {
    this.#modes.set(targetId, mode);
  }

  /** Lists the programs that a target holds memory for. */
  listHeld(targetId: TargetId): ProgramId[] {
    return [...this.#held.get(targetId) ?? []];
  }

  /** Runs an attempt that arrives after the link's delay. */
  start(order: AttemptOrder, listener: EventListener): void {
    this.#clock.add(LINK_MS, () => this.#receive(order, listener));
  }

  /** Follows an attempt again, from its beginning. */
  resume(order: AttemptOrder, listener: EventListener): void {
    this.#clock.add(LINK_MS, () => {
      const stream = this.#streams.get(order.attemptId);
      const mode = this.#getMode(order.targetId);
      if (mode === "silent" || stream?.isStuck === true) {
        return this.#endLater(order.progressTimeoutMs, listener);
      }
      if (stream === undefined || mode !== "serving" || isMute(order)) {
        return listener({ kind: "broken", detail: "the attempt isn't known" });
      }
      for (const event of stream.events) listener(event);
      stream.listeners = [listener];
    });
  }

  /** Stops an attempt. */
  cancel(attemptId: AttemptId): void {
    this.#clock.add(LINK_MS, () => {
      const stream = this.#streams.get(attemptId);
      if (stream !== undefined) stream.isCancelled = true;
    });
  }

  /** Releases what a target holds for a program. */
  release(
    targetId: TargetId,
    programId: ProgramId,
    answer: (result: TargetOrderResult) => void,
  ): void {
    this.#clock.add(LINK_MS, () => {
      const mode = this.#getMode(targetId);
      if (mode === "silent") return;
      if (mode === "down") {
        return answer({ kind: "failed", detail: "connection refused" });
      }
      this.#held.get(targetId)?.delete(programId);
      answer({ kind: "done" });
    });
  }

  #receive(order: AttemptOrder, listener: EventListener): void {
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
      isStuck: mode === "silent",
    };
    this.#streams.set(order.attemptId, stream);
    if (order.call.kind === "model") this.#addHeld(order);
    if (mode === "silent") {
      return this.#endLater(order.progressTimeoutMs, listener);
    }
    if (mode === "breaking") stream.listeners = [];
    if (mode === "breaking") {
      this.#endLater(order.progressTimeoutMs, listener);
    }
    if (order.call.kind === "model") this.#runModel(order, stream);
    else this.#runService(order.call, stream);
  }

  #runModel(order: AttemptOrder, stream: Stream): void {
    const { call } = order;
    if (call.kind !== "model") return;
    const { text, ends } = buildAnswerText(call.messages, call.maxTokens);
    const prompt = call.messages.map((message) => message.content).join("");
    const usage: Usage = {
      promptTokens: countTokens(prompt),
      cachedTokens: 0,
      completionTokens: ends.length,
    };
    const from = order.prefixText.length;
    this.#sendTokens({ text, ends, from, usage }, stream);
  }

  #sendTokens(answer: GeneratedAnswer, stream: Stream): void {
    const { text, ends, usage } = answer;
    let from = answer.from;
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
      return this.#closeSilently(stream);
    }
    for (const listener of stream.listeners) listener(event);
  }

  /** The stream stays silent, until its clients lose patience. */
  #closeSilently(stream: Stream): void {
    const listeners = stream.listeners.splice(0);
    for (const listener of listeners) {
      this.#endLater(stream.progressTimeoutMs, listener);
    }
  }

  /** The client's progress timeout ends the attempt. */
  #endLater(timeoutMs: number, listener: EventListener): void {
    this.#clock.add(timeoutMs, () => {
      listener({ kind: "broken", detail: "no progress" });
    });
  }

  #addHeld(order: AttemptOrder): void {
    const held = this.#held.get(order.targetId) ?? new Set();
    held.add(order.programId);
    this.#held.set(order.targetId, held);
  }

  #getMode(targetId: TargetId): TargetMode {
    return this.#modes.get(targetId) ?? "serving";
  }
}

/** Whether the target can't tell what became of an attempt. */
function isMute(order: AttemptOrder): boolean {
  return order.call.kind === "service" && order.targetId === MUTE_SERVICE;
}

/** Services take a time that their answer decides. */
function computeServiceMs(text: string): number {
  let hash = 0;
  for (const letter of text) hash = (hash * 31 + letter.charCodeAt(0)) >>> 0;
  return SHORTEST_SERVICE_MS + hash % SERVICE_SPREAD_MS;
}

interface GeneratedAnswer {
  readonly text: string;
  readonly ends: readonly number[];
  /** Characters that an earlier attempt already produced. */
  readonly from: number;
  readonly usage: Usage;
}

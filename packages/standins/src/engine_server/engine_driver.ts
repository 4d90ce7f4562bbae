/**
 * Runs an engine model in real time and passes its outputs to the streams.
 */
import { checkNever } from "@camphorlock/types";
import type { AttemptId } from "@camphorlock/types";
import { AnswerStream } from "./answer_stream.ts";
import type { PlannedAnswer } from "./chat_form.ts";
import type { EngineCore } from "./engine_core.ts";
import type {
  CacheEvent,
  EngineInput,
  EngineOutput,
} from "../engine/engine_types.ts";

const MIN_WAIT_MS = 1;
const MAX_EVENTS = 10_000;
const MAX_ENDED_STREAMS = 1_000;

/** What became of an input that expects an answer. */
export type EngineReply =
  | { readonly kind: "done" }
  /** The attempt was started before. */
  | { readonly kind: "known" }
  | { readonly kind: "rejected"; readonly detail: string }
  | { readonly kind: "fenced"; readonly highest: number };

/** A run that reached the engine. */
export interface EngineRun {
  readonly attemptId: AttemptId;
  readonly programId: string;
  readonly atMs: number;
}

/** Drives one engine model by a timer. */
export class EngineDriver {
  readonly core: EngineCore;
  readonly streams = new Map<AttemptId, AnswerStream>();
  readonly cacheEvents: CacheEvent[] = [];
  readonly runs: EngineRun[] = [];
  readonly #started = new Set<AttemptId>();
  readonly #startedAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(core: EngineCore) {
    this.core = core;
  }

  /** Milliseconds since the start. */
  readNow(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Starts a generation, unless its attempt was started before. */
  startAnswer(planned: PlannedAnswer): EngineReply {
    const { attemptId, programId } = planned.request;
    if (this.#started.has(attemptId)) return { kind: "known" };
    this.#started.add(attemptId);
    this.streams.set(attemptId, new AnswerStream(planned));
    this.runs.push({ attemptId, programId, atMs: this.readNow() });
    const reply = this.handle({ kind: "generate", request: planned.request });
    if (reply.kind === "rejected") {
      this.streams.delete(attemptId);
      this.#started.delete(attemptId);
      this.runs.pop();
    }
    this.#removeEnded();
    return reply;
  }

  /** Passes an input to the model. */
  handle(input: EngineInput): EngineReply {
    const outputs = this.core.handle(input, this.readNow());
    const reply = this.#applyOutputs(outputs);
    this.#startTimer();
    return reply;
  }

  /** Stops the timer. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #applyOutputs(outputs: readonly EngineOutput[]): EngineReply {
    let reply: EngineReply = { kind: "done" };
    for (const output of mergeTokens(outputs)) {
      switch (output.kind) {
        case "tokens":
          this.streams.get(output.attemptId)?.appendTokens(
            output.offset + output.tokens,
            output.tokens,
          );
          break;
        case "completed":
          this.streams.get(output.attemptId)?.end(output);
          break;
        case "cancelled":
          this.streams.get(output.attemptId)?.cancel();
          break;
        case "rejected":
          reply = { kind: "rejected", detail: output.detail };
          break;
        case "order_fenced":
          reply = { kind: "fenced", highest: output.highest };
          break;
        case "cache_event":
          this.#recordCacheEvent(output.event);
          break;
        case "order_done":
        case "prefix_exported":
          break;
        default:
          return checkNever(output);
      }
    }
    return reply;
  }

  #recordCacheEvent(event: CacheEvent): void {
    this.cacheEvents.push(event);
    if (this.cacheEvents.length > MAX_EVENTS) this.cacheEvents.shift();
  }

  #startTimer(): void {
    clearTimeout(this.#timer);
    const nextAtMs = this.core.getNextAtMs();
    if (this.#stopped || nextAtMs === Infinity) return;
    const waitMs = Math.max(MIN_WAIT_MS, Math.ceil(nextAtMs - this.readNow()));
    this.#timer = setTimeout(() => this.handle({ kind: "advance" }), waitMs);
  }

  #removeEnded(): void {
    if (this.streams.size <= MAX_ENDED_STREAMS) return;
    for (const [attemptId, stream] of this.streams) {
      if (stream.ended) this.streams.delete(attemptId);
      if (this.streams.size <= MAX_ENDED_STREAMS) return;
    }
  }
}

/** Merges the tokens of each attempt that came in one turn. */
function mergeTokens(outputs: readonly EngineOutput[]): EngineOutput[] {
  const merged: EngineOutput[] = [];
  const places = new Map<AttemptId, number>();
  for (const output of outputs) {
    if (output.kind !== "tokens") {
      merged.push(output);
      continue;
    }
    const place = places.get(output.attemptId);
    const earlier = place === undefined ? undefined : merged[place];
    if (place === undefined || earlier?.kind !== "tokens") {
      places.set(output.attemptId, merged.length);
      merged.push(output);
    } else {
      merged[place] = { ...earlier, tokens: earlier.tokens + output.tokens };
    }
  }
  return merged;
}

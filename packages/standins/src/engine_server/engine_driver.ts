/**
 * Runs an engine model in real time and sends its outputs to the streams.
 */
import { checkNever } from "@camphorlock/types";
import type { AttemptId } from "@camphorlock/types";
import { CompletionStream } from "./completion_stream.ts";
import type { PlannedCompletion } from "./chat_request.ts";
import type { EngineCore } from "./engine_core.ts";
import type {
  CacheEvent,
  EngineInput,
  EngineOutput,
} from "../engine/engine_types.ts";

const MIN_WAIT_MS = 1;
const MAX_CACHE_EVENTS = 10_000;
const MAX_ENDED_STREAMS = 1_000;

/** The result of an input to the engine. */
export type EngineResult =
  | { readonly kind: "done" }
  /** An attempt with this id was started before. */
  | { readonly kind: "known" }
  | { readonly kind: "rejected"; readonly detail: string }
  | { readonly kind: "fenced"; readonly highest: number };

/** An attempt that the engine accepted. */
export interface EngineRun {
  readonly attemptId: AttemptId;
  readonly programId: string;
  readonly atMs: number;
}

/** Drives one engine model with a timer. */
export class EngineDriver {
  readonly core: EngineCore;
  readonly streams = new Map<AttemptId, CompletionStream>();
  readonly cacheEvents: CacheEvent[] = [];
  readonly runs: EngineRun[] = [];
  readonly #startedAttempts = new Set<AttemptId>();
  readonly #startedAtMs = performance.now();
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(core: EngineCore) {
    this.core = core;
  }

  /** Reads the time since the start, in milliseconds. */
  readNow(): number {
    return performance.now() - this.#startedAtMs;
  }

  /** Starts a completion, unless its attempt was started before. */
  startCompletion(planned: PlannedCompletion): EngineResult {
    const { attemptId, programId } = planned.request;
    if (this.#startedAttempts.has(attemptId)) return { kind: "known" };
    this.#startedAttempts.add(attemptId);
    this.streams.set(attemptId, new CompletionStream(planned));
    this.runs.push({ attemptId, programId, atMs: this.readNow() });
    const result = this.handle({ kind: "generate", request: planned.request });
    if (result.kind === "rejected") {
      this.streams.delete(attemptId);
      this.#startedAttempts.delete(attemptId);
      this.runs.pop();
    }
    this.#removeEndedStreams();
    return result;
  }

  /** Passes an input to the model. */
  handle(input: EngineInput): EngineResult {
    const outputs = this.core.handle(input, this.readNow());
    const result = this.#applyOutputs(outputs);
    this.#startTimer();
    return result;
  }

  /** Stops the timer. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #applyOutputs(outputs: readonly EngineOutput[]): EngineResult {
    let result: EngineResult = { kind: "done" };
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
          result = { kind: "rejected", detail: output.detail };
          break;
        case "order_fenced":
          result = { kind: "fenced", highest: output.highest };
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
    return result;
  }

  #recordCacheEvent(event: CacheEvent): void {
    this.cacheEvents.push(event);
    if (this.cacheEvents.length > MAX_CACHE_EVENTS) this.cacheEvents.shift();
  }

  #startTimer(): void {
    clearTimeout(this.#timer);
    const nextAtMs = this.core.getNextAtMs();
    if (this.#stopped || nextAtMs === Infinity) return;
    const waitMs = Math.max(MIN_WAIT_MS, Math.ceil(nextAtMs - this.readNow()));
    this.#timer = setTimeout(() => this.handle({ kind: "advance" }), waitMs);
  }

  #removeEndedStreams(): void {
    if (this.streams.size <= MAX_ENDED_STREAMS) return;
    for (const [attemptId, stream] of this.streams) {
      if (stream.ended) this.streams.delete(attemptId);
      if (this.streams.size <= MAX_ENDED_STREAMS) return;
    }
  }
}

/** Merges the tokens of each attempt into one output. */
function mergeTokens(outputs: readonly EngineOutput[]): EngineOutput[] {
  const merged: EngineOutput[] = [];
  const indexes = new Map<AttemptId, number>();
  for (const output of outputs) {
    if (output.kind !== "tokens") {
      merged.push(output);
      continue;
    }
    const index = indexes.get(output.attemptId);
    const earlier = index === undefined ? undefined : merged[index];
    if (index === undefined || earlier?.kind !== "tokens") {
      indexes.set(output.attemptId, merged.length);
      merged.push(output);
    } else {
      merged[index] = { ...earlier, tokens: earlier.tokens + output.tokens };
    }
  }
  return merged;
}

/**
 * A model of an inference engine in virtual time, without I/O.
 *
 * The engine uses continuous batching: each step decodes one token for every
 * running sequence and computes a chunk of the first waiting prompt, so the
 * duration of a step grows with the batch size and its prompt tokens. Requests
 * are admitted in order of arrival while the batch and the memory have room;
 * there are no priorities. Prefixes stay cached until the memory is needed.
 */
import type { AttemptId, ProgramId, TargetOrder } from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import { RandomSource } from "@camphorlock/scheduler";
import type {
  CacheEvent,
  EngineInput,
  EngineLoad,
  EngineOutput,
  EngineSettings,
  GenerateRequest,
} from "./engine_types.ts";
import { type CachedPrefix, PrefixCache } from "./prefix_cache.ts";

/** Finished attempts whose stream can still be resumed. */
const MAX_FINISHED_ATTEMPTS = 1_000;

interface Sequence {
  readonly request: GenerateRequest;
  readonly cachedTokens: number;
  readonly memoryTokens: number;
  prefillLeft: number;
  produced: number;
}

interface LoadSample {
  readonly atMs: number;
  readonly load: EngineLoad;
}

/** One engine. Every input first runs the steps that are due by its time. */
export class EngineModel {
  readonly #settings: EngineSettings;
  readonly #random: RandomSource;
  readonly #cache = new PrefixCache();
  readonly #waiting: GenerateRequest[] = [];
  readonly #running = new Map<AttemptId, Sequence>();
  readonly #finishedAttempts = new Map<AttemptId, number>();
  readonly #models: Set<string>;
  readonly #events: (EngineOutput & { readonly kind: "cache_event" })[] = [];
  #samples: LoadSample[] = [];
  #speed = 1;
  #stepEndsAtMs = Infinity;
  #stepPrefillTokens = 0;
  #eventNumber = 0;
  #fence = 0;
  #reservedTokens = 0;
  #computedPromptTokens = 0;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#random = new RandomSource(settings.seed);
    this.#models = new Set(settings.models);
  }

  /** Handles one input and returns the engine's outputs up to `nowMs`. */
  handle(input: EngineInput, nowMs: number): EngineOutput[] {
    const outputs = this.#runUntil(nowMs);
    outputs.push(...this.#applyInput(input, nowMs));
    this.#startStep(nowMs);
    this.#recordSample(nowMs);
    return outputs;
  }

  /** Gets the time of the next step end or cache event, or `Infinity`. */
  getNextAtMs(): number {
    return Math.min(this.#stepEndsAtMs, this.#events[0]?.atMs ?? Infinity);
  }

  /** Gets the load as the engine reports it: at least `reportLagMs` old. */
  getReportedLoad(nowMs: number): EngineLoad {
    const horizonMs = nowMs - this.#settings.reportLagMs;
    const samples = this.#samples.filter((each) => each.atMs <= horizonMs);
    return samples.at(-1)?.load ??
      { running: 0, waiting: 0, memoryUsedTokens: 0 };
  }

  /** Gets the current load, which schedulers can't observe. */
  getTrueLoad(): EngineLoad {
    return {
      running: this.#running.size,
      waiting: this.#waiting.length,
      memoryUsedTokens: this.#reservedTokens + this.#cache.countHeldTokens(),
    };
  }

  /** Lists the contents of the prefix cache, for checks of held memory. */
  listPrefixes(): CachedPrefix[] {
    return this.#cache.listPrefixes();
  }

  /** Counts the prompt tokens computed since the start. */
  countComputedPromptTokens(): number {
    return this.#computedPromptTokens;
  }

  #applyInput(input: EngineInput, nowMs: number): EngineOutput[] {
    switch (input.kind) {
      case "generate":
        return this.#addRequest(input.request, nowMs);
      case "cancel":
        return this.#cancelAttempt(input.attemptId, nowMs);
      case "resume":
        return this.#resumeAttempt(input, nowMs);
      case "order":
        return this.#applyOrder(input.order, nowMs);
      case "export_prefix": {
        const tokens = this.#cache.findPrefix(input.key)?.tokens ?? 0;
        return [{
          kind: "prefix_exported",
          atMs: nowMs,
          key: input.key,
          tokens,
        }];
      }
      case "import_prefix":
        this.#addPrefix({ ...input, heldTokens: input.tokens }, nowMs);
        return [];
      case "set_speed":
        this.#setSpeed(input.speed, nowMs);
        return [];
      case "advance":
        return [];
      default:
        return checkNever(input);
    }
  }

  #addRequest(request: GenerateRequest, nowMs: number): EngineOutput[] {
    const { attemptId, model } = request;
    const isDuplicate = this.#running.has(attemptId) ||
      this.#finishedAttempts.has(attemptId) ||
      this.#waiting.some((each) => each.attemptId === attemptId);
    if (isDuplicate) return [buildRejection(attemptId, "attempt known", nowMs)];
    if (this.#models.size > 0 && !this.#models.has(model)) {
      return [buildRejection(attemptId, "model not loaded", nowMs)];
    }
    if (
      request.promptTokens + request.completionTokens >
        this.#settings.memoryTokens
    ) {
      return [buildRejection(attemptId, "prompt too long", nowMs)];
    }
    this.#waiting.push(request);
    return [];
  }

  #cancelAttempt(attemptId: AttemptId, nowMs: number): EngineOutput[] {
    const index = this.#waiting.findIndex((each) =>
      each.attemptId === attemptId
    );
    if (index >= 0) this.#waiting.splice(index, 1);
    const sequence = this.#running.get(attemptId);
    if (sequence !== undefined) {
      this.#running.delete(attemptId);
      this.#reservedTokens -= sequence.memoryTokens;
      if (sequence.prefillLeft === 0) this.#addPrefixes(sequence, nowMs);
    }
    if (index < 0 && sequence === undefined) return [];
    return [{ kind: "cancelled", atMs: nowMs, attemptId }];
  }

  #resumeAttempt(
    input: { readonly attemptId: AttemptId; readonly fromTokens: number },
    nowMs: number,
  ): EngineOutput[] {
    const { attemptId, fromTokens } = input;
    const produced = this.#running.get(attemptId)?.produced ??
      this.#finishedAttempts.get(attemptId);
    if (produced === undefined) {
      return [buildRejection(attemptId, "attempt unknown", nowMs)];
    }
    const tokens = produced - fromTokens;
    if (tokens <= 0) return [];
    return [{
      kind: "tokens",
      atMs: nowMs,
      attemptId,
      offset: fromTokens,
      tokens,
    }];
  }

  #applyOrder(order: TargetOrder, nowMs: number): EngineOutput[] {
    if (order.kind === "release") {
      this.#releaseProgram(order.programId, nowMs);
      return [{ kind: "order_done", atMs: nowMs }];
    }
    if (this.#settings.checksFencing && order.fence < this.#fence) {
      return [{ kind: "order_fenced", atMs: nowMs, highest: this.#fence }];
    }
    this.#fence = Math.max(this.#fence, order.fence);
    if (order.kind === "load_model") this.#models.add(order.model);
    else this.#models.delete(order.model);
    return [{ kind: "order_done", atMs: nowMs }];
  }

  #releaseProgram(programId: ProgramId, nowMs: number): void {
    for (const prefix of this.#cache.removeProgram(programId)) {
      this.#scheduleCacheEvent("evicted", prefix, nowMs);
    }
  }

  #setSpeed(speed: number, nowMs: number): void {
    if (this.#stepEndsAtMs !== Infinity) {
      const leftMs = (this.#stepEndsAtMs - nowMs) * this.#speed / speed;
      this.#stepEndsAtMs = nowMs + leftMs;
    }
    this.#speed = speed;
  }

  #runUntil(nowMs: number): EngineOutput[] {
    const outputs: EngineOutput[] = [];
    while (this.#stepEndsAtMs <= nowMs && this.#stepEndsAtMs < Infinity) {
      const atMs = this.#stepEndsAtMs;
      this.#endStep(atMs, outputs);
      this.#startStep(atMs);
      this.#recordSample(atMs);
    }
    while (this.#events[0] !== undefined && this.#events[0].atMs <= nowMs) {
      const event = this.#events.shift();
      if (event !== undefined) outputs.push(event);
    }
    return outputs;
  }

  #startStep(atMs: number): void {
    if (this.#stepEndsAtMs !== Infinity) return;
    this.#startWaitingRequests(atMs);
    if (this.#running.size === 0) return;
    const settings = this.#settings;
    let prefillLeft = 0;
    let decodingSequences = 0;
    let contextTokens = 0;
    for (const sequence of this.#running.values()) {
      prefillLeft += sequence.prefillLeft;
      if (sequence.prefillLeft > 0) continue;
      decodingSequences += 1;
      contextTokens += sequence.request.promptTokens + sequence.produced;
    }
    this.#stepPrefillTokens = Math.min(
      prefillLeft,
      settings.prefillChunkTokens,
    );
    const stepMs = settings.stepBaseMs +
      decodingSequences * settings.stepPerSequenceMs +
      contextTokens * settings.stepPerContextTokenMs +
      this.#stepPrefillTokens * settings.prefillPerTokenMs;
    this.#stepEndsAtMs = atMs + stepMs / this.#speed;
  }

  #endStep(atMs: number, outputs: EngineOutput[]): void {
    this.#stepEndsAtMs = Infinity;
    let budget = this.#stepPrefillTokens;
    this.#computedPromptTokens += budget;
    for (const sequence of this.#running.values()) {
      const isDecoding = sequence.prefillLeft === 0;
      const computed = Math.min(sequence.prefillLeft, budget);
      sequence.prefillLeft -= computed;
      budget -= computed;
      if (sequence.prefillLeft > 0) continue;
      if (!isDecoding && computed === 0) continue;
      this.#addToken(sequence, { atMs, outputs });
    }
  }

  #addToken(
    sequence: Sequence,
    step: { readonly atMs: number; readonly outputs: EngineOutput[] },
  ): void {
    const { request } = sequence;
    const { attemptId } = request;
    const { atMs, outputs } = step;
    outputs.push({
      kind: "tokens",
      atMs,
      attemptId,
      offset: sequence.produced,
      tokens: 1,
    });
    sequence.produced += 1;
    if (sequence.produced < request.completionTokens) return;
    this.#running.delete(attemptId);
    this.#reservedTokens -= sequence.memoryTokens;
    this.#recordFinished(attemptId, sequence.produced);
    this.#addPrefixes(sequence, atMs);
    outputs.push({
      kind: "completed",
      atMs,
      attemptId,
      promptTokens: request.promptTokens,
      cachedTokens: sequence.cachedTokens,
      completionTokens: sequence.produced,
    });
  }

  #startWaitingRequests(atMs: number): void {
    for (;;) {
      const request = this.#waiting[0];
      if (request === undefined) return;
      if (this.#running.size >= this.#settings.maxBatch) return;
      const memoryTokens = request.promptTokens + request.completionTokens;
      const freeTokens = this.#settings.memoryTokens - this.#reservedTokens;
      if (memoryTokens > freeTokens) return;
      this.#waiting.shift();
      this.#startSequence(request, atMs);
    }
  }

  #startSequence(request: GenerateRequest, atMs: number): void {
    const cachedTokens = Math.min(
      this.#cache.findCachedTokens(request.parts),
      request.promptTokens - 1,
    );
    const prompt = request.promptTokens + request.producedTokens;
    const memoryTokens = request.promptTokens + request.completionTokens -
      cachedTokens;
    this.#reservedTokens += memoryTokens;
    this.#running.set(request.attemptId, {
      request,
      cachedTokens,
      memoryTokens,
      prefillLeft: prompt - cachedTokens,
      produced: request.producedTokens,
    });
    this.#evictBeyondMemory(atMs);
  }

  #addPrefixes(sequence: Sequence, atMs: number): void {
    const { request } = sequence;
    let shorterTokens = 0;
    for (const part of request.parts) {
      if (part.key === request.storeKey) continue;
      const heldTokens = part.tokens - shorterTokens;
      const programId = part.shared ? "" : request.programId;
      const tokens = part.tokens;
      this.#addPrefix({ key: part.key, programId, tokens, heldTokens }, atMs);
      shorterTokens = part.tokens;
    }
    const tokens = request.promptTokens + sequence.produced;
    this.#addPrefix({
      key: request.storeKey,
      programId: request.programId,
      tokens,
      heldTokens: tokens - shorterTokens,
    }, atMs);
  }

  #addPrefix(prefix: CachedPrefix, atMs: number): void {
    if (this.#cache.addPrefix(prefix)) {
      this.#scheduleCacheEvent("stored", prefix, atMs);
    }
    this.#evictBeyondMemory(atMs);
  }

  #evictBeyondMemory(atMs: number): void {
    const limit = this.#settings.memoryTokens - this.#reservedTokens;
    for (const prefix of this.#cache.evictUntil(limit)) {
      this.#scheduleCacheEvent("evicted", prefix, atMs);
    }
  }

  #scheduleCacheEvent(
    kind: CacheEvent["kind"],
    prefix: CachedPrefix,
    atMs: number,
  ): void {
    this.#eventNumber += 1;
    if (this.#random.takeFloat() < this.#settings.cacheEventLoss) return;
    const { key, programId, tokens } = prefix;
    this.#events.push({
      kind: "cache_event",
      atMs: atMs + this.#settings.cacheEventDelayMs,
      event: { kind, number: this.#eventNumber, key, programId, tokens },
    });
  }

  #recordFinished(attemptId: AttemptId, produced: number): void {
    this.#finishedAttempts.set(attemptId, produced);
    if (this.#finishedAttempts.size <= MAX_FINISHED_ATTEMPTS) return;
    const oldest = this.#finishedAttempts.keys().next().value;
    if (oldest !== undefined) this.#finishedAttempts.delete(oldest);
  }

  #recordSample(atMs: number): void {
    const lastMs = this.#samples.at(-1)?.atMs ?? -Infinity;
    if (atMs - lastMs < this.#settings.reportIntervalMs) return;
    this.#samples.push({ atMs, load: this.getTrueLoad() });
    const horizonMs = atMs - 2 * this.#settings.reportLagMs - 1_000;
    this.#samples = this.#samples.filter((each) => each.atMs >= horizonMs);
  }
}

function buildRejection(
  attemptId: AttemptId,
  detail: string,
  atMs: number,
): EngineOutput {
  return { kind: "rejected", atMs, attemptId, detail };
}

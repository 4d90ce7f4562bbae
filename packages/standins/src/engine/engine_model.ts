/**
 * A pure model of a model engine in virtual time.
 *
 * It batches continuously: each step decodes one token for every running
 * sequence and computes a chunk of the first waiting prompt, so that a step
 * takes longer with the batch and with the prompt tokens in it. It admits
 * requests in order of arrival, as far as batch and memory reach, and knows no
 * priorities. Prefixes stay cached until the memory is needed.
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

/** Finished attempts whose stream can still be asked for. */
const MAX_FINISHED = 1_000;

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

/** One engine. `handle` with `advance` runs the steps that are due. */
export class EngineModel {
  readonly #settings: EngineSettings;
  readonly #random: RandomSource;
  readonly #cache = new PrefixCache();
  readonly #waiting: GenerateRequest[] = [];
  readonly #running = new Map<AttemptId, Sequence>();
  readonly #finished = new Map<AttemptId, number>();
  readonly #models: Set<string>;
  readonly #events: (EngineOutput & { readonly kind: "cache_event" })[] = [];
  #samples: LoadSample[] = [];
  #speed = 1;
  #stepEndsAtMs = Infinity;
  #stepPrefill = 0;
  #eventNumber = 0;
  #fence = 0;
  #reservedTokens = 0;
  #computedPromptTokens = 0;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#random = new RandomSource(settings.seed);
    this.#models = new Set(settings.models);
  }

  /** Handles one input and returns what the engine reported up to `nowMs`. */
  handle(input: EngineInput, nowMs: number): EngineOutput[] {
    const outputs = this.#runUntil(nowMs);
    outputs.push(...this.#applyInput(input, nowMs));
    this.#startStep(nowMs);
    this.#recordSample(nowMs);
    return outputs;
  }

  /** Gets the time at which `advance` has something to do, or `Infinity`. */
  getNextAtMs(): number {
    return Math.min(this.#stepEndsAtMs, this.#events[0]?.atMs ?? Infinity);
  }

  /** Gets the load as the engine reports it: late. */
  getReportedLoad(nowMs: number): EngineLoad {
    const horizonMs = nowMs - this.#settings.reportLagMs;
    const samples = this.#samples.filter((each) => each.atMs <= horizonMs);
    return samples.at(-1)?.load ??
      { running: 0, waiting: 0, memoryUsedTokens: 0 };
  }

  /** Gets the true load, which no scheduler sees. */
  getTrueLoad(): EngineLoad {
    return {
      running: this.#running.size,
      waiting: this.#waiting.length,
      memoryUsedTokens: this.#reservedTokens + this.#cache.countHeldTokens(),
    };
  }

  /** Lists what the prefix cache holds, for an audit. */
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
    const isKnown = this.#running.has(attemptId) ||
      this.#finished.has(attemptId) ||
      this.#waiting.some((each) => each.attemptId === attemptId);
    if (isKnown) return [buildRejection(attemptId, "attempt known", nowMs)];
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
    const place = this.#waiting.findIndex((each) =>
      each.attemptId === attemptId
    );
    if (place >= 0) this.#waiting.splice(place, 1);
    const sequence = this.#running.get(attemptId);
    if (sequence !== undefined) {
      this.#running.delete(attemptId);
      this.#reservedTokens -= sequence.memoryTokens;
      if (sequence.prefillLeft === 0) this.#addSequence(sequence, nowMs);
    }
    if (place < 0 && sequence === undefined) return [];
    return [{ kind: "cancelled", atMs: nowMs, attemptId }];
  }

  #resumeAttempt(
    input: { readonly attemptId: AttemptId; readonly fromTokens: number },
    nowMs: number,
  ): EngineOutput[] {
    const { attemptId, fromTokens } = input;
    const produced = this.#running.get(attemptId)?.produced ??
      this.#finished.get(attemptId);
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
      this.#sendCacheEvent("evicted", prefix, nowMs);
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
    this.#startWaiting(atMs);
    if (this.#running.size === 0) return;
    const settings = this.#settings;
    let prefillLeft = 0;
    let decoding = 0;
    let context = 0;
    for (const sequence of this.#running.values()) {
      prefillLeft += sequence.prefillLeft;
      if (sequence.prefillLeft > 0) continue;
      decoding += 1;
      context += sequence.request.promptTokens + sequence.produced;
    }
    this.#stepPrefill = Math.min(prefillLeft, settings.prefillChunkTokens);
    const stepMs = settings.stepBaseMs +
      decoding * settings.stepPerSequenceMs +
      context * settings.stepPerContextTokenMs +
      this.#stepPrefill * settings.prefillPerTokenMs;
    this.#stepEndsAtMs = atMs + stepMs / this.#speed;
  }

  #endStep(atMs: number, outputs: EngineOutput[]): void {
    this.#stepEndsAtMs = Infinity;
    let budget = this.#stepPrefill;
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
    this.#addSequence(sequence, atMs);
    outputs.push({
      kind: "completed",
      atMs,
      attemptId,
      promptTokens: request.promptTokens,
      cachedTokens: sequence.cachedTokens,
      completionTokens: sequence.produced,
    });
  }

  #startWaiting(atMs: number): void {
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
    this.#removeBeyondMemory(atMs);
  }

  #addSequence(sequence: Sequence, atMs: number): void {
    const { request } = sequence;
    let shorter = 0;
    for (const part of request.parts) {
      if (part.key === request.storeKey) continue;
      const heldTokens = part.tokens - shorter;
      const programId = part.shared ? "" : request.programId;
      const tokens = part.tokens;
      this.#addPrefix({ key: part.key, programId, tokens, heldTokens }, atMs);
      shorter = part.tokens;
    }
    const tokens = request.promptTokens + sequence.produced;
    this.#addPrefix({
      key: request.storeKey,
      programId: request.programId,
      tokens,
      heldTokens: tokens - shorter,
    }, atMs);
  }

  #addPrefix(prefix: CachedPrefix, atMs: number): void {
    if (this.#cache.addPrefix(prefix)) {
      this.#sendCacheEvent("stored", prefix, atMs);
    }
    this.#removeBeyondMemory(atMs);
  }

  #removeBeyondMemory(atMs: number): void {
    const limit = this.#settings.memoryTokens - this.#reservedTokens;
    for (const prefix of this.#cache.removeUntil(limit)) {
      this.#sendCacheEvent("evicted", prefix, atMs);
    }
  }

  #sendCacheEvent(
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
    this.#finished.set(attemptId, produced);
    if (this.#finished.size <= MAX_FINISHED) return;
    const oldest = this.#finished.keys().next().value;
    if (oldest !== undefined) this.#finished.delete(oldest);
  }

  #recordSample(atMs: number): void {
    const lastMs = this.#samples.at(-1)?.atMs ?? -Infinity;
    if (atMs - lastMs < this.#settings.reportEveryMs) return;
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

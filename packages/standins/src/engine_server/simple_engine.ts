/**
 * An engine model with a fixed time per token, independent of its load.
 */
import type { AttemptId, TargetOrder } from "@camphorlock/types";
import { checkNever } from "@camphorlock/types";
import type {
  EngineInput,
  EngineLoad,
  EngineOutput,
  GenerateRequest,
} from "../engine/engine_types.ts";
import type { CachedPrefix } from "../engine/prefix_cache.ts";
import type { EngineCore } from "./engine_core.ts";

/** Settings of a simple engine. */
export interface SimpleEngineOptions {
  readonly tokenMs: number;
  readonly firstTokenMs: number;
  readonly checksFencing: boolean;
}

interface Sequence {
  readonly request: GenerateRequest;
  readonly cachedTokens: number;
  produced: number;
  nextAtMs: number;
}

/** Produces tokens at a fixed rate. Prefixes stay cached until released. */
export class SimpleEngine implements EngineCore {
  readonly #options: SimpleEngineOptions;
  readonly #running = new Map<AttemptId, Sequence>();
  readonly #prefixes = new Map<string, CachedPrefix>();
  #speed = 1;
  #fence = 0;
  #eventNumber = 0;

  constructor(options: SimpleEngineOptions) {
    this.#options = options;
  }

  handle(input: EngineInput, nowMs: number): EngineOutput[] {
    const outputs = this.#runUntil(nowMs);
    outputs.push(...this.#applyInput(input, nowMs));
    return outputs;
  }

  getNextAtMs(): number {
    let nextAtMs = Infinity;
    for (const sequence of this.#running.values()) {
      nextAtMs = Math.min(nextAtMs, sequence.nextAtMs);
    }
    return nextAtMs;
  }

  getReportedLoad(): EngineLoad {
    const prefixes = this.listPrefixes();
    const held = prefixes.reduce((sum, each) => sum + each.heldTokens, 0);
    return {
      running: this.#running.size,
      waiting: 0,
      memoryUsedTokens: held,
    };
  }

  listPrefixes(): CachedPrefix[] {
    return [...this.#prefixes.values()];
  }

  #applyInput(input: EngineInput, atMs: number): EngineOutput[] {
    switch (input.kind) {
      case "generate":
        this.#startSequence(input.request, atMs);
        return [];
      case "cancel": {
        const { attemptId } = input;
        if (!this.#running.delete(attemptId)) return [];
        return [{ kind: "cancelled", atMs, attemptId }];
      }
      case "order":
        return this.#applyOrder(input.order, atMs);
      case "import_prefix":
        return this.#addPrefix(
          { ...input, heldTokens: input.tokens },
          atMs,
        );
      case "set_speed":
        this.#speed = input.speed;
        return [];
      case "advance":
      case "resume":
      case "export_prefix":
        return [];
      default:
        return checkNever(input);
    }
  }

  #startSequence(request: GenerateRequest, nowMs: number): void {
    const cachedParts = request.parts.filter((part) =>
      this.#prefixes.has(part.key)
    );
    this.#running.set(request.attemptId, {
      request,
      cachedTokens: cachedParts.at(-1)?.tokens ?? 0,
      produced: request.producedTokens,
      nextAtMs: nowMs + this.#options.firstTokenMs / this.#speed,
    });
  }

  #runUntil(nowMs: number): EngineOutput[] {
    const outputs: EngineOutput[] = [];
    for (const sequence of [...this.#running.values()]) {
      while (sequence.nextAtMs <= nowMs) {
        outputs.push(...this.#addToken(sequence));
      }
    }
    return outputs;
  }

  #addToken(sequence: Sequence): EngineOutput[] {
    const { request } = sequence;
    const { attemptId } = request;
    const atMs = sequence.nextAtMs;
    const offset = sequence.produced;
    sequence.produced += 1;
    sequence.nextAtMs += this.#options.tokenMs / this.#speed;
    const token: EngineOutput = {
      kind: "tokens",
      atMs,
      attemptId,
      offset,
      tokens: 1,
    };
    if (sequence.produced < request.completionTokens) return [token];
    sequence.nextAtMs = Infinity;
    this.#running.delete(attemptId);
    return [
      token,
      ...this.#addSequencePrefix(sequence, atMs),
      {
        kind: "completed",
        atMs,
        attemptId,
        promptTokens: request.promptTokens,
        cachedTokens: sequence.cachedTokens,
        completionTokens: sequence.produced,
      },
    ];
  }

  #addSequencePrefix(sequence: Sequence, atMs: number): EngineOutput[] {
    const { programId, promptTokens, storeKey } = sequence.request;
    const tokens = promptTokens + sequence.produced;
    return this.#addPrefix(
      { key: storeKey, programId, tokens, heldTokens: tokens },
      atMs,
    );
  }

  #addPrefix(prefix: CachedPrefix, atMs: number): EngineOutput[] {
    const { key, programId, tokens, heldTokens } = prefix;
    this.#prefixes.set(key, { key, programId, tokens, heldTokens });
    return [this.#buildEvent("stored", { prefix, atMs })];
  }

  #applyOrder(order: TargetOrder, atMs: number): EngineOutput[] {
    if (order.kind === "release") {
      const held = this.listPrefixes()
        .filter((prefix) => prefix.programId === order.programId);
      for (const prefix of held) this.#prefixes.delete(prefix.key);
      const events = held.map((prefix) =>
        this.#buildEvent("evicted", { prefix, atMs })
      );
      return [...events, { kind: "order_done", atMs }];
    }
    if (this.#options.checksFencing && order.fence < this.#fence) {
      return [{ kind: "order_fenced", atMs, highest: this.#fence }];
    }
    this.#fence = Math.max(this.#fence, order.fence);
    return [{ kind: "order_done", atMs }];
  }

  #buildEvent(
    kind: "stored" | "evicted",
    options: { readonly prefix: CachedPrefix; readonly atMs: number },
  ): EngineOutput {
    this.#eventNumber += 1;
    const { key, programId, tokens } = options.prefix;
    const number = this.#eventNumber;
    return {
      kind: "cache_event",
      atMs: options.atMs,
      event: { kind, number, key, programId, tokens },
    };
  }
}

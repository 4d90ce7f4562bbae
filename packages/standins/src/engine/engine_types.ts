/**
 * Settings, inputs and outputs of the engine model.
 *
 * All times are milliseconds of the caller's clock, which may be virtual.
 */
import type { AttemptId, ProgramId, TargetOrder } from "@camphorlock/types";

/** The speed, limits and reporting behaviour of one engine. */
export interface EngineSettings {
  /** Duration of a step with an empty batch. */
  readonly stepBaseMs: number;
  /** Time that each decoding sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Time that each context token of a decoding sequence adds to a step. */
  readonly stepPerContextTokenMs: number;
  /** Time that each prompt token computed in a step adds to the step. */
  readonly prefillPerTokenMs: number;
  /** Maximum number of prompt tokens computed in one step. */
  readonly prefillChunkTokens: number;
  /** Maximum batch size; further requests wait in order of arrival. */
  readonly maxBatch: number;
  /** KV memory in tokens, for running sequences and cached prefixes. */
  readonly memoryTokens: number;
  /** Minimum age of a load report when a client reads it. */
  readonly reportLagMs: number;
  /** Interval at which the load is sampled. */
  readonly reportIntervalMs: number;
  /** Delay after which a cache event is published. */
  readonly cacheEventDelayMs: number;
  /** Fraction of cache events that are never published. */
  readonly cacheEventLoss: number;
  /** Whether orders with an old fencing token are refused. */
  readonly checksFencing: boolean;
  /** Models served from the start. */
  readonly models: readonly string[];
  /** Seed of the random choice of lost cache events. */
  readonly seed: number;
}

/**
 * An engine whose time per token exceeds 36 ms at about 40 sequences of 8,000
 * tokens without prefill, and at about 17 sequences during prefill.
 */
export const DEFAULT_ENGINE_SETTINGS: EngineSettings = {
  stepBaseMs: 10,
  stepPerSequenceMs: 0.4,
  stepPerContextTokenMs: 0.00003,
  prefillPerTokenMs: 0.03,
  prefillChunkTokens: 512,
  maxBatch: 64,
  memoryTokens: 400_000,
  reportLagMs: 1_000,
  reportIntervalMs: 250,
  cacheEventDelayMs: 1_500,
  cacheEventLoss: 0.05,
  checksFencing: true,
  models: [],
  seed: 1,
};

/**
 * A prefix of a prompt that may be cached: the prompt's first `tokens` tokens
 * have the cache key `key`. A prompt lists its parts from short to long.
 */
export interface PromptPart {
  readonly key: string;
  readonly tokens: number;
  /** Whether prompts of other programs may begin with the same prefix. */
  readonly shared: boolean;
}

/** A request to generate one completion. */
export interface GenerateRequest {
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
  readonly model: string;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Key under which the prompt with its completion stays cached. */
  readonly storeKey: string;
  /** Number of tokens in the completion. */
  readonly completionTokens: number;
  /** Tokens of the completion that an earlier attempt already produced. */
  readonly producedTokens: number;
}

/** An input to an engine. */
export type EngineInput =
  | { readonly kind: "generate"; readonly request: GenerateRequest }
  | { readonly kind: "cancel"; readonly attemptId: AttemptId }
  | {
    /** Resumes the stream of a started attempt after `fromTokens` tokens. */
    readonly kind: "resume";
    readonly attemptId: AttemptId;
    readonly fromTokens: number;
  }
  | { readonly kind: "order"; readonly order: TargetOrder }
  | { readonly kind: "export_prefix"; readonly key: string }
  | {
    readonly kind: "import_prefix";
    readonly key: string;
    readonly tokens: number;
    readonly programId: ProgramId;
  }
  | {
    /** Sets the relative speed, where 1 is normal. Models noisy neighbours. */
    readonly kind: "set_speed";
    readonly speed: number;
  }
  | { readonly kind: "advance" };

/** An output of an engine at the time `atMs`. */
export type EngineOutput =
  & { readonly atMs: number }
  & (
    | {
      readonly kind: "tokens";
      readonly attemptId: AttemptId;
      /** Number of the completion's tokens before these. */
      readonly offset: number;
      readonly tokens: number;
    }
    | {
      readonly kind: "completed";
      readonly attemptId: AttemptId;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly completionTokens: number;
    }
    | { readonly kind: "cancelled"; readonly attemptId: AttemptId }
    | {
      /** The engine ran no part of the request. */
      readonly kind: "rejected";
      readonly attemptId: AttemptId;
      readonly detail: string;
    }
    | { readonly kind: "cache_event"; readonly event: CacheEvent }
    | { readonly kind: "order_done" }
    | { readonly kind: "order_fenced"; readonly highest: number }
    | {
      readonly kind: "prefix_exported";
      readonly key: string;
      readonly tokens: number;
    }
  );

/** A change of the prefix cache. `number` also counts lost events. */
export interface CacheEvent {
  readonly kind: "stored" | "evicted";
  readonly number: number;
  readonly key: string;
  readonly programId: ProgramId;
  readonly tokens: number;
}

/** The load that an engine reports, which may be outdated. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
}

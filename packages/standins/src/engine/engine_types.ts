/**
 * Settings, inputs and outputs of the engine model.
 *
 * All times are milliseconds of the caller's clock, which may be virtual.
 */
import type { AttemptId, ProgramId, TargetOrder } from "@camphorlock/types";

/** The speed, sizes and habits of one engine. */
export interface EngineSettings {
  /** Time of a step with an empty batch. */
  readonly stepBaseMs: number;
  /** Time that each sequence in decode adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Time that each token of context of a sequence in decode adds. */
  readonly stepPerContextTokenMs: number;
  /** Time that each prompt token computed in a step adds to it. */
  readonly prefillPerTokenMs: number;
  /** Prompt tokens computed in one step at most. */
  readonly prefillChunkTokens: number;
  /** Sequences in the batch at most; the others wait in order of arrival. */
  readonly maxBatch: number;
  /** Tokens of KV memory, for running sequences and cached prefixes. */
  readonly memoryTokens: number;
  /** Age of a load report when it's read. */
  readonly reportLagMs: number;
  /** Period at which the load is sampled. */
  readonly reportEveryMs: number;
  /** Delay after which a cache event is published. */
  readonly cacheEventDelayMs: number;
  /** Share of cache events that are never published. */
  readonly cacheEventLoss: number;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** Models served from the start. */
  readonly models: readonly string[];
  /** Seed of the loss of cache events. */
  readonly seed: number;
}

/**
 * An engine whose cadence passes 36 ms at about 40 sequences of 8,000 tokens
 * without prefill, and at about 17 while it computes prompts.
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
  reportEveryMs: 250,
  cacheEventDelayMs: 1_500,
  cacheEventLoss: 0.05,
  checksFencing: true,
  models: [],
  seed: 1,
};

/**
 * A part of a prompt that may be cached: the prompt's first `tokens` tokens
 * are known under `key`. A prompt lists its parts from short to long.
 */
export interface PromptPart {
  readonly key: string;
  readonly tokens: number;
  /** Whether other programs' prompts begin with it too. */
  readonly shared: boolean;
}

/** One generation to run. */
export interface GenerateRequest {
  readonly attemptId: AttemptId;
  readonly programId: ProgramId;
  readonly model: string;
  readonly promptTokens: number;
  readonly parts: readonly PromptPart[];
  /** Key under which the prompt and the answer stay cached. */
  readonly storeKey: string;
  /** Tokens that the answer will have. */
  readonly completionTokens: number;
  /** Tokens of the answer that an earlier attempt already produced. */
  readonly producedTokens: number;
}

/** What reaches an engine. */
export type EngineInput =
  | { readonly kind: "generate"; readonly request: GenerateRequest }
  | { readonly kind: "cancel"; readonly attemptId: AttemptId }
  | {
    /** Asks for the stream of a known attempt after `fromTokens` tokens. */
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
    /** Speed relative to usual, as unseen neighbours leave it. */
    readonly kind: "set_speed";
    readonly speed: number;
  }
  | { readonly kind: "advance" };

/** What an engine reports, in order of `atMs`. */
export type EngineOutput =
  & { readonly atMs: number }
  & (
    | {
      readonly kind: "tokens";
      readonly attemptId: AttemptId;
      /** Tokens of the answer before these. */
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
      /** Nothing was run. */
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

/** A change of the prefix cache. `number` counts all events, lost ones too. */
export interface CacheEvent {
  readonly kind: "stored" | "evicted";
  readonly number: number;
  readonly key: string;
  readonly programId: ProgramId;
  readonly tokens: number;
}

/** The load that an engine reports, as it was some time ago. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
}

/**
 * What the engine stand-in's HTTP form needs of an engine model.
 */
import type { AttemptId, ProgramId, TargetOrder } from "@camphorlock/types";

/** A part of a prompt that may be cached under a key. */
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
  | { readonly kind: "order"; readonly order: TargetOrder }
  | {
    readonly kind: "import_prefix";
    readonly key: string;
    readonly tokens: number;
    readonly programId: ProgramId;
  }
  | { readonly kind: "set_speed"; readonly speed: number }
  | { readonly kind: "advance" };

/** What an engine reports, in order of `atMs`. */
export type EngineOutput =
  & { readonly atMs: number }
  & (
    | {
      readonly kind: "tokens";
      readonly attemptId: AttemptId;
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

/** A cached prefix that belongs to a program. */
export interface HeldPrefix {
  readonly key: string;
  readonly programId: ProgramId;
  readonly tokens: number;
  readonly heldTokens: number;
}

/** The load that an engine reports, as it was some time ago. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
}

/** An engine model under the caller's clock. */
export interface EngineCore {
  handle(input: EngineInput, nowMs: number): EngineOutput[];
  /** The time at which `advance` has something to do, or `Infinity`. */
  getNextAtMs(): number;
  getReportedLoad(nowMs: number): ReportedLoad;
  listPrefixes(): HeldPrefix[];
}

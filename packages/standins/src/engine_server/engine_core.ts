/**
 * What the engine stand-in's HTTP form needs of an engine model.
 */
import type {
  EngineInput,
  EngineLoad,
  EngineOutput,
} from "../engine/engine_types.ts";
import type { CachedPrefix } from "../engine/prefix_cache.ts";

/** An engine model under the caller's clock. */
export interface EngineCore {
  /** Handles one input and returns what the engine reported up to `nowMs`. */
  handle(input: EngineInput, nowMs: number): EngineOutput[];
  /** The time at which `advance` has something to do, or `Infinity`. */
  getNextAtMs(): number;
  /** Gets the load as the engine reports it: late. */
  getReportedLoad(nowMs: number): EngineLoad;
  /** Lists what the engine holds, for an audit. */
  listPrefixes(): CachedPrefix[];
}

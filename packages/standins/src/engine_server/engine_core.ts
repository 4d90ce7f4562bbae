/**
 * The interface of the engine models that the HTTP stand-in can serve.
 */
import type {
  EngineInput,
  EngineLoad,
  EngineOutput,
} from "../engine/engine_types.ts";
import type { CachedPrefix } from "../engine/prefix_cache.ts";

/** An engine model that runs on the caller's clock. */
export interface EngineCore {
  /** Handles one input and returns the engine's outputs up to `nowMs`. */
  handle(input: EngineInput, nowMs: number): EngineOutput[];
  /** Gets the time of the engine's next change, or `Infinity`. */
  getNextAtMs(): number;
  /** Gets the load as the engine reports it, which may be outdated. */
  getReportedLoad(nowMs: number): EngineLoad;
  /** Lists the cached prefixes, for checks of held memory. */
  listPrefixes(): CachedPrefix[];
}

/**
 * What a request is expected to cost at one target. The choice of a target
 * compares these estimates, and the queue decides by them whether to wait.
 */
import type { TrackedTarget } from "../decisions/target_table.ts";

/** The expected cost of one request at one target. */
export interface WorkEstimate {
  /** Wait for the work ahead at the target, in ms. */
  readonly waitMs: number;
  /** Prefill of the prompt tokens that the target hasn't cached, in ms. */
  readonly readMs: number;
  /** Generation, or the work of a plain call, in ms. */
  readonly runMs: number;
  /** Network round trip, in ms. */
  readonly networkMs: number;
  /** Sum of the durations above, in ms. */
  readonly totalMs: number;
  /** Tokens that the request holds in the target's memory. */
  readonly tokens: number;
}

/** A chosen target. */
export interface PlacementChoice {
  readonly entry: TrackedTarget;
  readonly estimate: WorkEstimate;
}

/**
 * What the load view says about one target: the work of all other gateways.
 */
import type { SpeedSums } from "./work_model.ts";

/** The work of the other gateways at one target. */
export interface TargetLoad {
  /** Requests that run or wait there. */
  readonly running: number;
  /** Requests at a target of as many slots that has its share of the load. */
  readonly typicalRunning: number;
  /** Age of this knowledge in ms. */
  readonly ageMs: number;
  /** Work that they still need, in ms at average speed. */
  readonly remainingMs: number;
  /** Tokens that they hold of their own. */
  readonly ownTokens: number;
  /** Shared parts that the target probably has cached, with their tokens. */
  readonly cachedParts: ReadonlyMap<string, number>;
  /** Those of them that running requests hold. */
  readonly heldParts: ReadonlySet<string>;
  readonly speeds: SpeedSums;
}

/** Where the choice of a target finds the load of others. */
export interface LoadSource {
  /** Age of the view in ms; infinite without one. */
  computeAgeMs(nowMs: number): number;
  /** Undefined without a view that is recent enough. */
  find(targetId: string, nowMs: number): TargetLoad | undefined;
}

/** No view of the others' load. */
export const NO_LOAD: LoadSource = {
  computeAgeMs: () => Number.POSITIVE_INFINITY,
  find: () => undefined,
};

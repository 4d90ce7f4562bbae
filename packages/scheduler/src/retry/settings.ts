/**
 * The settings of retries and hedges.
 */

/** How many retries there may be beside fresh attempts. */
export type RetryBudgetPolicy =
  | { readonly kind: "unlimited" }
  | {
    /** Each fresh attempt earns a fraction of a retry. */
    readonly kind: "fraction";
    readonly retriesPerFresh: number;
    /** Retries that can be saved up. */
    readonly mostSaved: number;
  };

/** Whether a second attempt runs beside one that is late. */
export type HedgePolicy =
  | { readonly kind: "none" }
  | {
    readonly kind: "short_idempotent";
    /** Multiple of the usual time to the first token. */
    readonly afterUsualTimes: number;
    /** Share of the pool's slots in use above which nothing is hedged. */
    readonly mostLoad: number;
  };

/** All settings of retries. */
export interface RetrySettings {
  readonly budget: RetryBudgetPolicy;
  readonly hedge: HedgePolicy;
  readonly mostAttempts: number;
  readonly firstBackoffMs: number;
  readonly mostBackoffMs: number;
}

/** The settings used unless an operator says otherwise. */
export const DEFAULT_RETRY_SETTINGS: RetrySettings = {
  budget: { kind: "fraction", retriesPerFresh: 0.1, mostSaved: 20 },
  hedge: { kind: "short_idempotent", afterUsualTimes: 3, mostLoad: 0.6 },
  mostAttempts: 4,
  firstBackoffMs: 100,
  mostBackoffMs: 5_000,
};

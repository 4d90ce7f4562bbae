/**
 * The settings of retries and hedges.
 */

/** How many retries are allowed relative to first attempts. */
export type RetryBudgetPolicy =
  | { readonly kind: "unlimited" }
  | {
    /** Each first attempt earns a fraction of a retry. */
    readonly kind: "fraction";
    readonly retriesPerFirstAttempt: number;
    /** Largest number of unused retries that are kept; also the initial number. */
    readonly mostSaved: number;
  };

/** Whether a second attempt is started while the first is late. */
export type HedgePolicy =
  | { readonly kind: "none" }
  | {
    readonly kind: "short_idempotent";
    /** Multiple of the usual time to the first token after which to hedge. */
    readonly afterUsualTimes: number;
    /** Share of the pool's slots in use above which no call is hedged. */
    readonly mostLoad: number;
  };

/** All settings of retries and hedges. */
export interface RetrySettings {
  readonly budget: RetryBudgetPolicy;
  readonly hedge: HedgePolicy;
  readonly mostAttempts: number;
  readonly firstBackoffMs: number;
  readonly mostBackoffMs: number;
}

/** The default settings. */
export const DEFAULT_RETRY_SETTINGS: RetrySettings = {
  budget: { kind: "fraction", retriesPerFirstAttempt: 0.1, mostSaved: 20 },
  hedge: { kind: "short_idempotent", afterUsualTimes: 3, mostLoad: 0.6 },
  mostAttempts: 4,
  firstBackoffMs: 100,
  mostBackoffMs: 5_000,
};

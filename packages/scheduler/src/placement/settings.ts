/**
 * The settings of placement. Each behaviour is a union, so that an operator can
 * choose a baseline instead.
 */

/** How a target is chosen. */
export type PlacementPolicy =
  | { readonly kind: "random" }
  | { readonly kind: "round_robin" }
  | { readonly kind: "least_loaded" }
  | { readonly kind: "cache_affinity" }
  | { readonly kind: "estimated_finish" };

/** How targets that are slower than their peers are treated. */
export type SlowTargetPolicy =
  | { readonly kind: "ignore" }
  | {
    readonly kind: "shift";
    /** Speed, relative to the median of the peers, below which work shifts. */
    readonly slowBelow: number;
    /** Largest share of a model's targets that may be avoided. */
    readonly mostAvoidedShare: number;
  };

/** Where background work may run. */
export type BackgroundPolicy =
  | { readonly kind: "anywhere" }
  | {
    /**
     * Keeps a share of each model's targets free of background work, whose
     * long prompts delay short calls inside an engine.
     */
    readonly kind: "confined";
    readonly freeShare: number;
    /** Number of targets of a model from which a share is kept free. */
    readonly leastTargets: number;
  };

/** Sizes and speeds that the estimate assumes where no load contains them. */
export interface EstimateSettings {
  readonly prefillTokenMs: number;
  readonly tokenMs: number;
  /** Added time per token for each sequence in the batch. */
  readonly tokenPerSequenceMs: number;
  readonly completionTokens: number;
  readonly slotMs: number;
  /** Wait assumed at a target without a recent load. */
  readonly unknownMs: number;
  readonly slots: number;
  /** Round-trip time added when the target is in another region. */
  readonly crossRegionMs: number;
  /** Latency in milliseconds that a paid megabyte between regions equals. */
  readonly paidMegabyteMs: number;
  /**
   * Weight of the delay that a prompt's prefill causes to each other call in the
   * batch, relative to the call's own delay.
   */
  readonly interference: number;
  /** Calls expected to join the batch during a prompt's prefill. */
  readonly arrivingCalls: number;
}

/** All settings of placement. */
export interface PlacementSettings {
  readonly policy: PlacementPolicy;
  readonly slowTargets: SlowTargetPolicy;
  readonly background: BackgroundPolicy;
  readonly estimate: EstimateSettings;
  /** Holders of a cached prefix considered for one decision. */
  readonly mostHolders: number;
  /** Targets of the node's own region sampled for one decision. */
  readonly sampleNear: number;
  /** Targets of the other regions sampled for one decision. */
  readonly sampleFar: number;
  /** Largest number of programs in the prefix index. */
  readonly mostPrograms: number;
  /** Age from which a load is ignored. */
  readonly loadLifeMs: number;
}

/** The default settings. */
export const DEFAULT_PLACEMENT_SETTINGS: PlacementSettings = {
  policy: { kind: "estimated_finish" },
  slowTargets: {
    kind: "shift",
    slowBelow: 0.6,
    mostAvoidedShare: 0.5,
  },
  background: { kind: "confined", freeShare: 0.25, leastTargets: 4 },
  estimate: {
    prefillTokenMs: 0.06,
    tokenMs: 20,
    tokenPerSequenceMs: 0.5,
    completionTokens: 150,
    slotMs: 4_000,
    unknownMs: 500,
    slots: 24,
    crossRegionMs: 32,
    paidMegabyteMs: 200,
    interference: 0.5,
    arrivingCalls: 3,
  },
  mostHolders: 3,
  sampleNear: 6,
  sampleFar: 3,
  mostPrograms: 20_000,
  loadLifeMs: 10_000,
};

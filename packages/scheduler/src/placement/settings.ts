/**
 * The settings of placement. Each behaviour is a union, so that an operator can
 * pick a baseline.
 */

/** How a target is chosen. */
export type PlacementPolicy =
  | { readonly kind: "random" }
  | { readonly kind: "round_robin" }
  | { readonly kind: "least_loaded" }
  | { readonly kind: "cache_affinity" }
  | { readonly kind: "estimated_finish" };

/** What is done about targets slower than their peers. */
export type SlowTargetPolicy =
  | { readonly kind: "ignore" }
  | {
    readonly kind: "shift";
    /** Speed relative to the median of the peers below which work shifts. */
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
     * long prompts hold up short calls inside an engine.
     */
    readonly kind: "confined";
    readonly freeShare: number;
    /** Fewest targets of a model from which on some are kept free. */
    readonly leastTargets: number;
  };

/** Sizes and speeds that the estimate assumes until it's told better. */
export interface EstimateSettings {
  readonly prefillTokenMs: number;
  readonly tokenMs: number;
  /** How much one more sequence in the batch lengthens a token. */
  readonly tokenPerSequenceMs: number;
  readonly completionTokens: number;
  readonly slotMs: number;
  /** Wait assumed at a target whose load isn't known. */
  readonly unknownMs: number;
  readonly slots: number;
  /** Added for each crossing between regions, both ways together. */
  readonly crossRegionMs: number;
  /** Milliseconds of latency that a paid megabyte between regions is worth. */
  readonly paidMegabyteMs: number;
  /**
   * Weight of the delay that a prompt's computation causes to each other call
   * in the batch, against the call's own delay.
   */
  readonly interference: number;
  /** Calls expected to join the batch while a prompt is computed. */
  readonly arrivingCalls: number;
}

/** All settings of placement. */
export interface PlacementSettings {
  readonly policy: PlacementPolicy;
  readonly slowTargets: SlowTargetPolicy;
  readonly background: BackgroundPolicy;
  readonly estimate: EstimateSettings;
  /** Targets with a cached prefix that are considered. */
  readonly mostHolders: number;
  /** Targets of the region sampled for one decision. */
  readonly sampleNear: number;
  /** Targets of the other regions sampled for one decision. */
  readonly sampleFar: number;
  /** Programs in the prefix index. */
  readonly mostPrograms: number;
  /** Age beyond which a load says nothing. */
  readonly loadLifeMs: number;
}

/** The settings used unless an operator says otherwise. */
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

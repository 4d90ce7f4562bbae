/**
 * The policies that the benches compare: the default one, and baselines that
 * settings can select.
 */
import {
  type AdmissionSettings,
  DEFAULT_ADMISSION_SETTINGS,
  DEFAULT_DISPATCH_SETTINGS,
  DEFAULT_PLACEMENT_SETTINGS,
  DEFAULT_RETRY_SETTINGS,
  type DispatchSettings,
  type PlacementPolicy,
  type PlacementSettings,
  type RetrySettings,
} from "@camphorlock/scheduler";

/** A named set of settings for every scheduling decision. */
export interface PolicySet {
  readonly name: string;
  readonly dispatch: DispatchSettings;
  readonly placement: PlacementSettings;
  readonly retry: RetrySettings;
  readonly admission: AdmissionSettings;
}

/** The default settings. */
export const CAMPHORLOCK: PolicySet = {
  name: "camphorlock",
  dispatch: DEFAULT_DISPATCH_SETTINGS,
  placement: DEFAULT_PLACEMENT_SETTINGS,
  retry: DEFAULT_RETRY_SETTINGS,
  admission: DEFAULT_ADMISSION_SETTINGS,
};

const UNLIMITED_DISPATCH: DispatchSettings = {
  ...DEFAULT_DISPATCH_SETTINGS,
  order: { kind: "first_come" },
  limit: { kind: "none" },
  share: { kind: "none" },
  shortRoom: { kind: "none" },
  prefill: { kind: "none" },
  queue: { kind: "unbounded" },
  waitLifeMs: 600_000,
};

/** Baselines without queue or concurrency limits; only placement differs. */
export const UNLIMITED_BASELINES: readonly PolicySet[] = [
  createUnlimitedBaseline("random", { kind: "random" }),
  createUnlimitedBaseline("round_robin", { kind: "round_robin" }),
  createUnlimitedBaseline("least_loaded", { kind: "least_loaded" }),
  createUnlimitedBaseline("cache_affinity", { kind: "cache_affinity" }),
];

/** First come, first served, with a fixed number of slots per engine. */
export const FIRST_COME: PolicySet = {
  ...createUnlimitedBaseline("first_come_fixed", { kind: "least_loaded" }),
  dispatch: { ...UNLIMITED_DISPATCH, limit: { kind: "fixed", slots: 24 } },
};

/** Every policy, the default one first. */
export const POLICY_SETS: readonly PolicySet[] = [
  CAMPHORLOCK,
  ...UNLIMITED_BASELINES,
  FIRST_COME,
];

function createUnlimitedBaseline(
  name: string,
  policy: PlacementPolicy,
): PolicySet {
  return {
    name,
    dispatch: UNLIMITED_DISPATCH,
    placement: {
      ...DEFAULT_PLACEMENT_SETTINGS,
      policy,
      slowTargets: { kind: "ignore" },
      background: { kind: "anywhere" },
    },
    retry: { ...DEFAULT_RETRY_SETTINGS, hedge: { kind: "none" } },
    admission: { ...DEFAULT_ADMISSION_SETTINGS, crest: { kind: "queue" } },
  };
}

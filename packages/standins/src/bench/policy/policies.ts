/**
 * The policies that the benches compare: the one in force by default, and the
 * baselines that settings can pick.
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

/** The settings of every decision under one name. */
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

const OPEN_DISPATCH: DispatchSettings = {
  ...DEFAULT_DISPATCH_SETTINGS,
  order: { kind: "first_come" },
  limit: { kind: "none" },
  share: { kind: "none" },
  shortRoom: { kind: "none" },
  prefill: { kind: "none" },
  queue: { kind: "unbounded" },
  waitLifeMs: 600_000,
};

/** Calls go to engines as they arrive; only the placement differs. */
export const OPEN_BASELINES: readonly PolicySet[] = [
  createOpen("random", { kind: "random" }),
  createOpen("round_robin", { kind: "round_robin" }),
  createOpen("least_loaded", { kind: "least_loaded" }),
  createOpen("cache_affinity", { kind: "cache_affinity" }),
];

/** First come first served before engines with a fixed number of slots. */
export const FIRST_COME: PolicySet = {
  ...createOpen("first_come_fixed", { kind: "least_loaded" }),
  dispatch: { ...OPEN_DISPATCH, limit: { kind: "fixed", slots: 24 } },
};

/** Every policy, the default one first. */
export const POLICY_SETS: readonly PolicySet[] = [
  CAMPHORLOCK,
  ...OPEN_BASELINES,
  FIRST_COME,
];

function createOpen(name: string, policy: PlacementPolicy): PolicySet {
  return {
    name,
    dispatch: OPEN_DISPATCH,
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

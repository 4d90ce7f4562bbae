/**
 * The settings of admission and of the limits of single programs.
 */
import type { Micros, Partner, ProgramClass } from "@camphorlock/types";

/** The agreed shares of the partners, relative to each other. */
export type PartnerWeights = Readonly<Record<Partner, number>>;

/** What happens to new programs while the pool is full. */
export type CrestPolicy =
  | { readonly kind: "queue" }
  | {
    /** Refuses new programs while those begun have work for this long. */
    readonly kind: "refuse_early";
    /** Work that waits, in multiples of the pool's slots, by class. */
    readonly mostBacklog: Readonly<Record<ProgramClass, number>>;
    readonly weights: PartnerWeights;
    /** Returns of refused callers for each admitted program. */
    readonly returnShare: number;
    /** Least and most time after which a refused caller returns. */
    readonly leastRetryMs: number;
    readonly mostRetryMs: number;
  };

/** Bounds of one program, against loops without end. */
export interface ProgramLimits {
  readonly mostTurns: number;
  readonly mostCostMicros: Micros;
  readonly mostAgeMs: number;
}

/** How long a tool may run before it counts as hung. */
export interface ToolTimeouts {
  readonly usualTimes: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

/** All settings of admission. */
export interface AdmissionSettings {
  readonly crest: CrestPolicy;
  readonly limits: ProgramLimits;
  readonly toolTimeouts: ToolTimeouts;
}

/** The settings used unless an operator says otherwise. */
export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  crest: {
    kind: "refuse_early",
    mostBacklog: { short: 0.5, standard: 0.4, background: 0.3 },
    weights: { zincir: 1, okonkwo: 1 },
    returnShare: 0.15,
    leastRetryMs: 1_000,
    mostRetryMs: 45_000,
  },
  limits: {
    mostTurns: 1_000,
    mostCostMicros: 1_000_000_000,
    mostAgeMs: 24 * 60 * 60 * 1_000,
  },
  toolTimeouts: { usualTimes: 8, leastMs: 2_000, mostMs: 120_000 },
};

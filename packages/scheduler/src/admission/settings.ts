/**
 * The settings of admission and of the limits of single programs.
 */
import type { Micros, Partner, ProgramClass } from "@camphorlock/types";

/** The agreed relative shares of the partners. */
export type PartnerWeights = Readonly<Record<Partner, number>>;

/** How new programs are treated while the pool is overloaded. */
export type OverloadPolicy =
  | { readonly kind: "queue" }
  | {
    /**
     * Refuses new programs while the backlog exceeds `mostBacklog`, or if it
     * would outlast the program's deadline.
     */
    readonly kind: "refuse_early";
    /** Largest number of waiting calls per slot, by class. */
    readonly mostBacklog: Readonly<Record<ProgramClass, number>>;
    readonly weights: PartnerWeights;
    /** Retries of refused callers per admitted program. */
    readonly returnShare: number;
    /** Shortest and longest delay after which a refused caller retries. */
    readonly leastRetryMs: number;
    readonly mostRetryMs: number;
  };

/** Bounds of one program, against infinite loops. */
export interface ProgramLimits {
  readonly mostTurns: number;
  readonly mostCostMicros: Micros;
  readonly mostAgeMs: number;
}

/** How long a tool may run before it counts as hung. */
export interface ToolTimeouts {
  /** Multiple of the tool's usual duration. */
  readonly usualTimes: number;
  readonly leastMs: number;
  readonly mostMs: number;
}

/** All settings of admission. */
export interface AdmissionSettings {
  readonly crest: OverloadPolicy;
  readonly limits: ProgramLimits;
  readonly toolTimeouts: ToolTimeouts;
}

/** The default settings. */
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

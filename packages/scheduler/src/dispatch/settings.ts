/**
 * The settings of a dispatcher. Each policy is a union, so that an operator can
 * choose a baseline.
 */
import type { Partner, ProgramClass } from "@camphorlock/types";

/** The order in which waiting calls get slots. */
export type OrderPolicy =
  | { readonly kind: "first_come" }
  | {
    /**
     * Least attained service first, in levels that double, so that programs
     * with similar service are served in order of age.
     */
    readonly kind: "attained_service";
    /** Attained service up to which a program is in the first level. */
    readonly firstLevelMs: number;
    /** Wait after which a call moves up by one level. */
    readonly ageingMs: number;
  };

/** How many calls a target runs at a time. */
export type LimitPolicy =
  | { readonly kind: "none" }
  | { readonly kind: "fixed"; readonly slots: number }
  | {
    /** Adapts the limit to the observed time between tokens. */
    readonly kind: "adaptive";
    readonly initialSlots: number;
    readonly leastSlots: number;
    readonly mostSlots: number;
    readonly targetTokenMs: number;
    readonly windowMs: number;
  };

/** How partners share a target. */
export type SharePolicy =
  | { readonly kind: "none" }
  | {
    readonly kind: "weighted";
    readonly weights: Readonly<Record<Partner, number>>;
  };

/** The slots that are reserved for short calls. */
export type ShortRoomPolicy =
  | { readonly kind: "none" }
  | {
    readonly kind: "reserved";
    /** Share of the slots that only short calls get, from 0 to 1. */
    readonly slotShare: number;
  };

/** How many prompt tokens one target computes at a time. */
export type PrefillPolicy =
  | { readonly kind: "none" }
  | {
    readonly kind: "bounded";
    /** Tokens of long prompts. A longer prompt runs as the only long one. */
    readonly mostTokens: number;
    /** Tokens of small prompts, in addition. */
    readonly smallTokens: number;
  };

/** How long the queue may grow. */
export type QueuePolicy =
  | { readonly kind: "unbounded" }
  | {
    readonly kind: "bounded";
    readonly mostWaiting: number;
    /** Expected wait beyond which calls of new programs are refused. */
    readonly freshWaitMs: Readonly<Record<ProgramClass, number>>;
  };

/** All settings of a dispatcher. */
export interface DispatchSettings {
  readonly order: OrderPolicy;
  readonly limit: LimitPolicy;
  readonly share: SharePolicy;
  readonly shortRoom: ShortRoomPolicy;
  readonly prefill: PrefillPolicy;
  readonly queue: QueuePolicy;
  /** Lifetime of a grant that isn't renewed. */
  readonly grantLifeMs: number;
  /** Lifetime of a waiting request that its node doesn't repeat. */
  readonly waitLifeMs: number;
  /** Period at which loads are reported to the other nodes. */
  readonly loadPeriodMs: number;
}

/** The default settings. */
export const DEFAULT_DISPATCH_SETTINGS: DispatchSettings = {
  order: { kind: "attained_service", firstLevelMs: 12_000, ageingMs: 6_000 },
  limit: {
    kind: "adaptive",
    initialSlots: 24,
    leastSlots: 2,
    mostSlots: 256,
    targetTokenMs: 36,
    windowMs: 1_000,
  },
  share: { kind: "weighted", weights: { zincir: 1, okonkwo: 1 } },
  shortRoom: { kind: "reserved", slotShare: 0.15 },
  prefill: { kind: "bounded", mostTokens: 16_000, smallTokens: 8_000 },
  queue: {
    kind: "bounded",
    mostWaiting: 256,
    freshWaitMs: { short: 3_000, standard: 10_000, background: 20_000 },
  },
  grantLifeMs: 1_500,
  waitLifeMs: 60_000,
  loadPeriodMs: 250,
};

/**
 * The configuration that is in force on every node: targets, prices, cost
 * splits, budgets, placement rules, policies and drains.
 *
 * A value is immutable. A change makes a new value that shares the unchanged
 * items, and is stored as a patch of the items that differ.
 */
import type { Micros, Partner, Region, Revision, VmId } from "./ids.ts";
import type { TargetSpec } from "./target.ts";

/** Tokens that a price of `ModelPrice` is for. */
export const PRICE_TOKENS = 1_000;

/** The whole of a cost, in the unit of `PartnerShare`. */
export const WHOLE_PPM = 1_000_000;

/** A model and its prices in micros for `PRICE_TOKENS` tokens. */
export interface ModelPrice {
  readonly model: string;
  readonly promptMicros: Micros;
  readonly cachedMicros: Micros;
  readonly completionMicros: Micros;
}

/** The price of one call of a plain service. */
export interface ServicePrice {
  readonly service: string;
  readonly callMicros: Micros;
}

/** The classes of cost that the partners split by agreement. */
export const COST_CLASSES = ["zincir", "okonkwo", "shared"] as const;

/** Whose work a cost was for. `shared` covers shared teams and idle time. */
export type CostClass = typeof COST_CLASSES[number];

/** A partner's part of a class of costs. */
export interface PartnerShare {
  readonly partner: Partner;
  /** Parts per million. */
  readonly sharePpm: number;
}

/** The agreed split of one class of costs. */
export interface CostSplit {
  readonly costClass: CostClass;
  /** Sums to `WHOLE_PPM`. */
  readonly shares: readonly PartnerShare[];
  /** Pays what is left when the shares are rounded down. */
  readonly remainderTo: Partner;
  /** The revision at which this split came into force. */
  readonly since: Revision;
}

/** A team of one partner. */
export interface TeamSpec {
  readonly team: string;
  readonly partner: Partner;
  /** Whether the team's work counts as `shared` costs. */
  readonly sharedWork: boolean;
}

/** The kinds of budget that the configuration limits. */
export const BUDGET_KINDS = ["program", "team", "partner"] as const;

/** `program` is the default budget of a program that names none. */
export type BudgetKind = typeof BUDGET_KINDS[number];

/** The limit of one budget. */
export interface BudgetLimit {
  readonly kind: BudgetKind;
  /** A team, a partner, or `default` for programs. */
  readonly name: string;
  readonly limitMicros: Micros;
}

/** Where the work of a partner may run. */
export interface PlacementRule {
  readonly partner: Partner;
  /** No region listed means every region. */
  readonly regions: readonly Region[];
}

/** A policy setting, by name. */
export interface PolicySetting {
  readonly name: string;
  readonly value: string;
}

/** A VM that an operator takes out of service. */
export interface VmDrain {
  readonly vmId: VmId;
}

/** All that the configuration says at one revision. */
export interface ConfigurationValue {
  readonly targets: readonly TargetSpec[];
  readonly models: readonly ModelPrice[];
  readonly services: readonly ServicePrice[];
  readonly costSplits: readonly CostSplit[];
  /** Splits that were in force earlier, for charges that name them. */
  readonly pastSplits: readonly CostSplit[];
  readonly teams: readonly TeamSpec[];
  readonly budgets: readonly BudgetLimit[];
  readonly placementRules: readonly PlacementRule[];
  readonly policies: readonly PolicySetting[];
  readonly vmDrains: readonly VmDrain[];
}

/** The name of a section of the configuration. */
export type ConfigurationSection = keyof ConfigurationValue;

/** The items of one section that a change set or removed. */
export interface SectionPatch<Item> {
  readonly set: readonly Item[];
  /** Keys of the items that are gone. */
  readonly removed: readonly string[];
}

/** The difference between two configurations. */
export type ConfigurationPatch = {
  readonly [Section in ConfigurationSection]?: SectionPatch<
    ConfigurationValue[Section][number]
  >;
};

/** Who ordered a change. */
export interface OperatorName {
  readonly partner: Partner;
  readonly operator: string;
}

/** A stored revision of the configuration. */
export interface RevisionRecord {
  readonly revision: Revision;
  /** Tells the change from all others, and a repeat of it from a new one. */
  readonly changeId: string;
  readonly by: OperatorName;
  /** The command as the operator wrote it. */
  readonly command: string;
  /** Wall clock, milliseconds since the Unix epoch. For display only. */
  readonly atMs: number;
  /** What differs from the revision before; absent where `full` replaces it. */
  readonly patch?: ConfigurationPatch;
  /** The whole configuration, in checkpoints and imports. */
  readonly full?: ConfigurationValue;
}

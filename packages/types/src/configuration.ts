/**
 * The configuration that is in force on every node: targets, prices, cost
 * splits, budgets, placement rules, policies and drains.
 *
 * A value is immutable. A change creates a new value that shares the unchanged
 * items, and is stored as a patch of the items that differ.
 */
import type { Micros, Partner, Region, Revision, VmId } from "./ids.ts";
import type { TargetSpec } from "./target.ts";

/** The number of tokens to which a price in `ModelPrice` applies. */
export const TOKENS_PER_PRICE = 1_000;

/** A share of 100%, in parts per million as in `PartnerShare`. */
export const WHOLE_PPM = 1_000_000;

/** A model and its prices in micros per `TOKENS_PER_PRICE` tokens. */
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

/** The classes of costs that the partners split by agreement. */
export const COST_CLASSES = ["zincir", "okonkwo", "shared"] as const;

/** Whose work caused a cost; `shared` is for shared teams and idle time. */
export type CostClass = typeof COST_CLASSES[number];

/** A partner's share of a class of costs. */
export interface PartnerShare {
  readonly partner: Partner;
  /** Parts per million. */
  readonly sharePpm: number;
}

/** The agreed split of one class of costs. */
export interface CostSplit {
  readonly costClass: CostClass;
  /** The shares sum to `WHOLE_PPM`. */
  readonly shares: readonly PartnerShare[];
  /** The partner that pays the remainder after the shares are rounded down. */
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

/** The kinds of budget for which the configuration sets limits. */
export const BUDGET_KINDS = ["program", "team", "partner"] as const;

/** `program` is the default for a program created without a budget. */
export type BudgetKind = typeof BUDGET_KINDS[number];

/** The limit of one budget. */
export interface BudgetLimit {
  readonly kind: BudgetKind;
  /** A team, a partner, or `default` for programs. */
  readonly name: string;
  readonly limitMicros: Micros;
}

/** The regions in which the work of a partner may run. */
export interface PlacementRule {
  readonly partner: Partner;
  /** An empty list allows every region. */
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

/** The complete configuration at one revision. */
export interface ConfigurationValue {
  readonly targets: readonly TargetSpec[];
  readonly models: readonly ModelPrice[];
  readonly services: readonly ServicePrice[];
  readonly costSplits: readonly CostSplit[];
  /** Splits that were in force earlier, for charges that refer to them. */
  readonly pastSplits: readonly CostSplit[];
  readonly teams: readonly TeamSpec[];
  readonly budgets: readonly BudgetLimit[];
  readonly placementRules: readonly PlacementRule[];
  readonly policies: readonly PolicySetting[];
  readonly vmDrains: readonly VmDrain[];
}

/** The name of a section of the configuration. */
export type ConfigurationSection = keyof ConfigurationValue;

/** The items of one section that a change sets or removes. */
export interface SectionPatch<Item> {
  readonly set: readonly Item[];
  /** Keys of the removed items. */
  readonly removed: readonly string[];
}

/** The difference between two configurations. */
export type ConfigurationPatch = {
  readonly [Section in ConfigurationSection]?: SectionPatch<
    ConfigurationValue[Section][number]
  >;
};

/** The operator who ordered a change. */
export interface OperatorName {
  readonly partner: Partner;
  readonly operator: string;
}

/** A stored revision of the configuration. */
export interface RevisionRecord {
  readonly revision: Revision;
  /** Identifies the change, so that a repeated request is recognized. */
  readonly changeId: string;
  readonly by: OperatorName;
  /** The command as the operator wrote it. */
  readonly command: string;
  /** Wall clock, milliseconds since the Unix epoch. For display only. */
  readonly atMs: number;
  /** The difference from the previous revision; absent if `full` is set. */
  readonly patch?: ConfigurationPatch;
  /** The complete configuration, in checkpoints and imports. */
  readonly full?: ConfigurationValue;
}

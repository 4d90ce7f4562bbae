/**
 * The configuration value: the empty value, the keys of its items, and patches
 * between two values.
 */
import type {
  BudgetKind,
  BudgetLimit,
  ConfigurationPatch,
  ConfigurationSection,
  ConfigurationValue,
  RevisionRecord,
  SectionPatch,
} from "@camphorlock/types";
import {
  applySectionPatch,
  buildSectionPatch,
  type KeyOf,
  sortSection,
} from "./section.ts";

type SectionKeys = {
  readonly [Section in ConfigurationSection]: KeyOf<
    ConfigurationValue[Section][number]
  >;
};

/** The key function of each section. */
export const SECTION_KEYS: SectionKeys = {
  targets: (item) => item.targetId,
  models: (item) => item.model,
  services: (item) => item.service,
  costSplits: (item) => item.costClass,
  pastSplits: (item) => `${item.costClass}/${item.since}`,
  teams: (item) => item.team,
  budgets: (item) => formatBudgetKey(item.kind, item.name),
  placementRules: (item) => item.partner,
  policies: (item) => item.name,
  vmDrains: (item) => item.vmId,
};

/** A configuration with no items in any section. */
export const EMPTY_CONFIGURATION: ConfigurationValue = {
  targets: [],
  models: [],
  services: [],
  costSplits: [],
  pastSplits: [],
  teams: [],
  budgets: [],
  placementRules: [],
  policies: [],
  vmDrains: [],
};

/** Formats the key of a budget, as in its object on the platform. */
export function formatBudgetKey(kind: BudgetKind, name: string): string {
  return `${kind}/${name}`;
}

/** Finds the limit of a budget. A budget without one is unlimited. */
export function findBudget(
  value: ConfigurationValue,
  key: string,
): BudgetLimit | undefined {
  return value.budgets.find((item) => SECTION_KEYS.budgets(item) === key);
}

/** Sorts every section by key, as the other functions here require. */
export function sortConfiguration(
  value: ConfigurationValue,
): ConfigurationValue {
  const keys = SECTION_KEYS;
  return {
    targets: sortSection(value.targets, keys.targets),
    models: sortSection(value.models, keys.models),
    services: sortSection(value.services, keys.services),
    costSplits: sortSection(value.costSplits, keys.costSplits),
    pastSplits: sortSection(value.pastSplits, keys.pastSplits),
    teams: sortSection(value.teams, keys.teams),
    budgets: sortSection(value.budgets, keys.budgets),
    placementRules: sortSection(value.placementRules, keys.placementRules),
    policies: sortSection(value.policies, keys.policies),
    vmDrains: sortSection(value.vmDrains, keys.vmDrains),
  };
}

/** Builds the patch from one configuration to another. */
export function buildPatch(
  before: ConfigurationValue,
  after: ConfigurationValue,
): ConfigurationPatch {
  const keys = SECTION_KEYS;
  const patch: ConfigurationPatch = {
    targets: buildSectionPatch(before.targets, {
      after: after.targets,
      keyOf: keys.targets,
    }),
    models: buildSectionPatch(before.models, {
      after: after.models,
      keyOf: keys.models,
    }),
    services: buildSectionPatch(before.services, {
      after: after.services,
      keyOf: keys.services,
    }),
    costSplits: buildSectionPatch(before.costSplits, {
      after: after.costSplits,
      keyOf: keys.costSplits,
    }),
    pastSplits: buildSectionPatch(before.pastSplits, {
      after: after.pastSplits,
      keyOf: keys.pastSplits,
    }),
    teams: buildSectionPatch(before.teams, {
      after: after.teams,
      keyOf: keys.teams,
    }),
    budgets: buildSectionPatch(before.budgets, {
      after: after.budgets,
      keyOf: keys.budgets,
    }),
    placementRules: buildSectionPatch(before.placementRules, {
      after: after.placementRules,
      keyOf: keys.placementRules,
    }),
    policies: buildSectionPatch(before.policies, {
      after: after.policies,
      keyOf: keys.policies,
    }),
    vmDrains: buildSectionPatch(before.vmDrains, {
      after: after.vmDrains,
      keyOf: keys.vmDrains,
    }),
  };
  const changed = Object.entries(patch)
    .filter(([, section]) => section !== undefined);
  return Object.fromEntries(changed);
}

/** Applies a patch to a configuration. */
export function applyPatch(
  before: ConfigurationValue,
  patch: ConfigurationPatch,
): ConfigurationValue {
  const keys = SECTION_KEYS;
  return {
    targets: applySectionPatch(before.targets, {
      patch: patch.targets,
      keyOf: keys.targets,
    }),
    models: applySectionPatch(before.models, {
      patch: patch.models,
      keyOf: keys.models,
    }),
    services: applySectionPatch(before.services, {
      patch: patch.services,
      keyOf: keys.services,
    }),
    costSplits: applySectionPatch(before.costSplits, {
      patch: patch.costSplits,
      keyOf: keys.costSplits,
    }),
    pastSplits: applySectionPatch(before.pastSplits, {
      patch: patch.pastSplits,
      keyOf: keys.pastSplits,
    }),
    teams: applySectionPatch(before.teams, {
      patch: patch.teams,
      keyOf: keys.teams,
    }),
    budgets: applySectionPatch(before.budgets, {
      patch: patch.budgets,
      keyOf: keys.budgets,
    }),
    placementRules: applySectionPatch(before.placementRules, {
      patch: patch.placementRules,
      keyOf: keys.placementRules,
    }),
    policies: applySectionPatch(before.policies, {
      patch: patch.policies,
      keyOf: keys.policies,
    }),
    vmDrains: applySectionPatch(before.vmDrains, {
      patch: patch.vmDrains,
      keyOf: keys.vmDrains,
    }),
  };
}

/** Applies a record to the configuration of the previous revision. */
export function applyRecord(
  before: ConfigurationValue,
  record: RevisionRecord,
): ConfigurationValue {
  if (record.patch !== undefined) return applyPatch(before, record.patch);
  return record.full ?? before;
}

/** Lists the items that a patch sets or removes, as `section/key`. */
export function listTouchedItems(patch: ConfigurationPatch): readonly string[] {
  const keys = SECTION_KEYS;
  return [
    ...listKeys("targets", { patch: patch.targets, keyOf: keys.targets }),
    ...listKeys("models", { patch: patch.models, keyOf: keys.models }),
    ...listKeys("services", { patch: patch.services, keyOf: keys.services }),
    ...listKeys("costSplits", {
      patch: patch.costSplits,
      keyOf: keys.costSplits,
    }),
    ...listKeys("pastSplits", {
      patch: patch.pastSplits,
      keyOf: keys.pastSplits,
    }),
    ...listKeys("teams", { patch: patch.teams, keyOf: keys.teams }),
    ...listKeys("budgets", { patch: patch.budgets, keyOf: keys.budgets }),
    ...listKeys("placementRules", {
      patch: patch.placementRules,
      keyOf: keys.placementRules,
    }),
    ...listKeys("policies", { patch: patch.policies, keyOf: keys.policies }),
    ...listKeys("vmDrains", { patch: patch.vmDrains, keyOf: keys.vmDrains }),
  ];
}

function listKeys<Item>(
  section: ConfigurationSection,
  options: {
    readonly patch: SectionPatch<Item> | undefined;
    readonly keyOf: KeyOf<Item>;
  },
): readonly string[] {
  const { patch, keyOf } = options;
  if (patch === undefined) return [];
  const keys = [...patch.set.map(keyOf), ...patch.removed];
  return keys.map((key) => `${section}/${key}`);
}

/**
 * Checks a complete configuration, as an import supplies it.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import type {
  ConfigurationSection,
  ConfigurationValue,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { checkShares, isAmount } from "./amounts.ts";
import { checkPolicy } from "./policy_settings.ts";
import type { KeyOf } from "./section.ts";
import { SECTION_KEYS } from "./value.ts";

/** Checks a complete configuration. Fails with all broken rules at once. */
export function checkConfiguration(
  value: ConfigurationValue,
): Result<ConfigurationValue, Failure> {
  const violations = [
    ...checkKeys(value),
    ...checkSplits(value),
    ...checkBudgets(value),
    ...checkPrices(value),
    ...checkTargets(value),
    ...checkPolicies(value),
  ];
  if (violations.length === 0) return ok(value);
  return err(createFailure("ChangeInvalid", violations.join("; ")));
}

function checkKeys(value: ConfigurationValue): readonly string[] {
  const keys = SECTION_KEYS;
  return [
    ...checkUnique(value.targets, { section: "targets", keyOf: keys.targets }),
    ...checkUnique(value.models, { section: "models", keyOf: keys.models }),
    ...checkUnique(value.services, {
      section: "services",
      keyOf: keys.services,
    }),
    ...checkUnique(value.costSplits, {
      section: "costSplits",
      keyOf: keys.costSplits,
    }),
    ...checkUnique(value.pastSplits, {
      section: "pastSplits",
      keyOf: keys.pastSplits,
    }),
    ...checkUnique(value.teams, { section: "teams", keyOf: keys.teams }),
    ...checkUnique(value.budgets, { section: "budgets", keyOf: keys.budgets }),
    ...checkUnique(value.placementRules, {
      section: "placementRules",
      keyOf: keys.placementRules,
    }),
    ...checkUnique(value.policies, {
      section: "policies",
      keyOf: keys.policies,
    }),
    ...checkUnique(value.vmDrains, {
      section: "vmDrains",
      keyOf: keys.vmDrains,
    }),
  ];
}

function checkUnique<Item>(
  items: readonly Item[],
  options: {
    readonly section: ConfigurationSection;
    readonly keyOf: KeyOf<Item>;
  },
): readonly string[] {
  const { section, keyOf } = options;
  const keys = items.map(keyOf);
  const duplicates = keys.filter((key, index) => keys[index - 1] === key);
  return duplicates.map((key) => `${section} has ${key} twice`);
}

function checkSplits(value: ConfigurationValue): readonly string[] {
  return value.costSplits.flatMap((split) => {
    const violation = checkShares(split.shares);
    return violation === undefined
      ? []
      : [`split of ${split.costClass}: ${violation}`];
  });
}

function checkBudgets(value: ConfigurationValue): readonly string[] {
  return value.budgets
    .filter((item) => !isAmount(item.limitMicros))
    .map((item) =>
      `budget ${item.kind} ${item.name} isn't a non-negative integer`
    );
}

function checkPrices(value: ConfigurationValue): readonly string[] {
  const models = value.models.filter((item) =>
    !isAmount(item.promptMicros) || !isAmount(item.cachedMicros) ||
    !isAmount(item.completionMicros)
  );
  const services = value.services.filter((item) => !isAmount(item.callMicros));
  const names = [
    ...models.map((item) => item.model),
    ...services.map((item) => item.service),
  ];
  return names.map((name) => `a price of ${name} isn't a non-negative integer`);
}

function checkTargets(value: ConfigurationValue): readonly string[] {
  return value.targets
    .filter((item) => item.serves.length === 0)
    .map((item) => `target ${item.targetId} serves no model or service`);
}

function checkPolicies(value: ConfigurationValue): readonly string[] {
  return value.policies.flatMap((item) => {
    const checked = checkPolicy(item.name, item.value);
    return checked.isErr() ? [checked.error.detail] : [];
  });
}

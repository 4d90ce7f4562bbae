/**
 * Applies an operator's change to a configuration and checks that the result
 * is valid. Pure: the same change on the same value gives the same result on
 * every node.
 */
import {
  type ChangeCommand,
  checkNever,
  type ConfigurationValue,
  type CostSplit,
  PARTNERS,
  type Revision,
  type TeamSpec,
} from "@camphorlock/types";
import { ok } from "neverthrow";
import { checkShares, isAmount } from "./amounts.ts";
import {
  applyPlacement,
  applyTarget,
  applyTargetDrain,
  applyTargetRemoval,
  applyVmDrain,
} from "./apply_target_change.ts";
import {
  type Change,
  type ChangeResult,
  refuseInvalidChange,
} from "./change_result.ts";
import { formatUnknownName } from "./nearest_name.ts";
import { checkPolicy } from "./policy_settings.ts";
import { setItem, sortSection } from "./section.ts";
import { checkConfiguration } from "./check_configuration.ts";
import { SECTION_KEYS, sortConfiguration } from "./value.ts";

/** Number of replaced cost splits that the configuration keeps. */
const MAX_PAST_SPLITS = 1_024;

/**
 * Applies a change to a configuration.
 *
 * `revision` is the revision of the result. Fails with `ChangeInvalid` and the
 * rule that the change breaks.
 */
export function applyChange(
  value: ConfigurationValue,
  change: ChangeCommand,
  options: { readonly revision: Revision },
): ChangeResult {
  switch (change.kind) {
    case "set_budget":
      return applyBudget(value, change);
    case "set_model_price":
      return applyModelPrice(value, change);
    case "set_service_price":
      return applyServicePrice(value, change);
    case "set_policy":
      return applyPolicy(value, change);
    case "set_team":
      return applyTeam(value, change);
    case "set_target":
      return applyTarget(value, change);
    case "remove_target":
      return applyTargetRemoval(value, change);
    case "split_costs":
      return applySplit(value, change, options);
    case "drain_target":
      return applyTargetDrain(value, change);
    case "drain_vm":
      return applyVmDrain(value, change);
    case "place_partner":
      return applyPlacement(value, change);
    case "import_configuration":
      return applyImport(value, change, options);
    default:
      return checkNever(change);
  }
}

function applyBudget(
  value: ConfigurationValue,
  change: Change<"set_budget">,
): ChangeResult {
  const { budget: kind, name, limitMicros } = change;
  if (!isAmount(limitMicros)) {
    return refuseInvalidChange(`a budget can't be ${limitMicros} micros`);
  }
  const known = listBudgetNames(value, kind);
  if (!known.includes(name)) {
    return refuseInvalidChange(formatUnknownName(kind, { name, known }));
  }
  const budgets = setItem(value.budgets, {
    item: { kind, name, limitMicros },
    keyOf: SECTION_KEYS.budgets,
  });
  return ok({ ...value, budgets });
}

function listBudgetNames(
  value: ConfigurationValue,
  kind: Change<"set_budget">["budget"],
): readonly string[] {
  switch (kind) {
    case "program":
      return ["default"];
    case "team":
      return value.teams.map((item) => item.team);
    case "partner":
      return PARTNERS;
    default:
      return checkNever(kind);
  }
}

function applyModelPrice(
  value: ConfigurationValue,
  change: Change<"set_model_price">,
): ChangeResult {
  const { model, part, micros } = change;
  if (!isAmount(micros)) {
    return refuseInvalidChange(`a price can't be ${micros} micros`);
  }
  const current = value.models.find((item) => item.model === model) ??
    buildModelPrice(value, model);
  if (current === undefined) {
    const names = listServedNames(value);
    return refuseInvalidChange(
      formatUnknownName("model", { name: model, known: names }),
    );
  }
  const models = setItem(value.models, {
    item: { ...current, [`${part}Micros`]: micros },
    keyOf: SECTION_KEYS.models,
  });
  return ok({ ...value, models });
}

/** Builds zero prices for a model that a target serves without prices. */
function buildModelPrice(
  value: ConfigurationValue,
  model: string,
): ConfigurationValue["models"][number] | undefined {
  if (!listServedNames(value).includes(model)) return undefined;
  return { model, promptMicros: 0, cachedMicros: 0, completionMicros: 0 };
}

function listServedNames(value: ConfigurationValue): readonly string[] {
  return [...new Set(value.targets.flatMap((item) => item.serves))];
}

function applyServicePrice(
  value: ConfigurationValue,
  change: Change<"set_service_price">,
): ChangeResult {
  const { service, micros } = change;
  if (!isAmount(micros)) {
    return refuseInvalidChange(`a price can't be ${micros} micros`);
  }
  const priced = value.services.map((item) => item.service);
  const known = [...new Set([...priced, ...listServedNames(value)])];
  if (!known.includes(service)) {
    return refuseInvalidChange(
      formatUnknownName("service", { name: service, known }),
    );
  }
  const services = setItem(value.services, {
    item: { service, callMicros: micros },
    keyOf: SECTION_KEYS.services,
  });
  return ok({ ...value, services });
}

function applyPolicy(
  value: ConfigurationValue,
  change: Change<"set_policy">,
): ChangeResult {
  return checkPolicy(change.name, change.value).map((item) => ({
    ...value,
    policies: setItem(value.policies, { item, keyOf: SECTION_KEYS.policies }),
  }));
}

function applyTeam(
  value: ConfigurationValue,
  change: Change<"set_team">,
): ChangeResult {
  const { team, partner, sharedWork } = change;
  const violation = checkTeam(value, { team, partner, sharedWork });
  if (violation !== undefined) return refuseInvalidChange(violation);
  const teams = setItem(value.teams, {
    item: { team, partner, sharedWork },
    keyOf: SECTION_KEYS.teams,
  });
  return ok({ ...value, teams });
}

/**
 * Checks that a team keeps its partner and its `sharedWork`: both decide the
 * cost class of the team's charges, which must not change.
 */
function checkTeam(
  value: ConfigurationValue,
  team: TeamSpec,
): string | undefined {
  const present = value.teams.find((item) => item.team === team.team);
  if (present === undefined) return undefined;
  if (present.partner !== team.partner) {
    return `team ${team.team} belongs to ${present.partner}`;
  }
  if (present.sharedWork === team.sharedWork) return undefined;
  return `sharedWork of team ${team.team} can't change`;
}

function applySplit(
  value: ConfigurationValue,
  change: Change<"split_costs">,
  options: { readonly revision: Revision },
): ChangeResult {
  const { costClass, shares } = change;
  const violation = checkShares(shares);
  if (violation !== undefined) return refuseInvalidChange(violation);
  const present = value.costSplits.find((item) => item.costClass === costClass);
  const remainderTo = change.remainderTo ?? present?.remainderTo ?? PARTNERS[0];
  const costSplits = setItem(value.costSplits, {
    item: { costClass, shares, remainderTo, since: options.revision },
    keyOf: SECTION_KEYS.costSplits,
  });
  const replaced = present === undefined ? [] : [present];
  const pastSplits = appendPastSplits(value, replaced);
  return ok({ ...value, costSplits, pastSplits });
}

/** Keeps the latest replaced splits, for charges that refer to them. */
function appendPastSplits(
  value: ConfigurationValue,
  replaced: readonly CostSplit[],
): readonly CostSplit[] {
  const oldestFirst = [...value.pastSplits, ...replaced]
    .sort((a, b) => a.since - b.since);
  const kept = oldestFirst.slice(-MAX_PAST_SPLITS);
  return sortSection(kept, SECTION_KEYS.pastSplits);
}

function applyImport(
  value: ConfigurationValue,
  change: Change<"import_configuration">,
  options: { readonly revision: Revision },
): ChangeResult {
  const changedTeam = change.value.teams.find((team) => {
    return checkTeam(value, team) !== undefined;
  });
  const violation = changedTeam === undefined
    ? undefined
    : checkTeam(value, changedTeam);
  if (violation !== undefined) return refuseInvalidChange(violation);
  const since = options.revision;
  const imported = {
    ...change.value,
    costSplits: change.value.costSplits.map((item) => ({ ...item, since })),
    pastSplits: appendPastSplits(value, value.costSplits),
  };
  return checkConfiguration(sortConfiguration(imported));
}

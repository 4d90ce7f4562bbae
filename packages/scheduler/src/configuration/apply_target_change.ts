/**
 * Changes of targets, drains and placement rules.
 */
import type { Failure } from "@camphorlock/codes";
import type { ConfigurationValue } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import {
  type Change,
  type ChangeResult,
  refuseInvalidChange,
} from "./change_result.ts";
import { formatUnknownName } from "./nearest_name.ts";
import { removeItem, setItem } from "./section.ts";
import { SECTION_KEYS } from "./value.ts";

/** Adds a target, or replaces the one with its id. */
export function applyTarget(
  value: ConfigurationValue,
  change: Change<"set_target">,
): ChangeResult {
  if (change.target.serves.length === 0) {
    return refuseInvalidChange(
      `target ${change.target.targetId} serves no model or service`,
    );
  }
  const targets = setItem(value.targets, {
    item: change.target,
    keyOf: SECTION_KEYS.targets,
  });
  return ok({ ...value, targets });
}

/** Removes a target, which must be draining. */
export function applyTargetRemoval(
  value: ConfigurationValue,
  change: Change<"remove_target">,
): ChangeResult {
  const found = findTarget(value, change.targetId);
  if (found.isErr()) return err(found.error);
  if (!found.value.leaving) {
    return refuseInvalidChange(`target ${change.targetId} isn't drained`);
  }
  const targets = removeItem(value.targets, {
    key: change.targetId,
    keyOf: SECTION_KEYS.targets,
  });
  return ok({ ...value, targets });
}

function findTarget(
  value: ConfigurationValue,
  name: string,
): Result<ConfigurationValue["targets"][number], Failure> {
  const target = value.targets.find((item) => item.targetId === name);
  if (target !== undefined) return ok(target);
  const known = value.targets.map((item) => item.targetId);
  return refuseInvalidChange(formatUnknownName("target", { name, known }));
}

/** Starts or ends the drain of a target. */
export function applyTargetDrain(
  value: ConfigurationValue,
  change: Change<"drain_target">,
): ChangeResult {
  return findTarget(value, change.targetId).map((target) => ({
    ...value,
    targets: setItem(value.targets, {
      item: { ...target, leaving: change.draining },
      keyOf: SECTION_KEYS.targets,
    }),
  }));
}

/** Starts or ends the drain of a VM. */
export function applyVmDrain(
  value: ConfigurationValue,
  change: Change<"drain_vm">,
): ChangeResult {
  const { vmId, draining } = change;
  const keyOf = SECTION_KEYS.vmDrains;
  const vmDrains = draining
    ? setItem(value.vmDrains, { item: { vmId }, keyOf })
    : removeItem(value.vmDrains, { key: vmId, keyOf });
  return ok({ ...value, vmDrains });
}

/** Sets the regions where a partner's work may run. */
export function applyPlacement(
  value: ConfigurationValue,
  change: Change<"place_partner">,
): ChangeResult {
  const known = [...new Set(value.targets.map((item) => item.region))];
  const name = change.regions.find((region) => !known.includes(region));
  if (name !== undefined) {
    return refuseInvalidChange(formatUnknownName("region", { name, known }));
  }
  const placementRules = setItem(value.placementRules, {
    item: { partner: change.partner, regions: change.regions },
    keyOf: SECTION_KEYS.placementRules,
  });
  return ok({ ...value, placementRules });
}

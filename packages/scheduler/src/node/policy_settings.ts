/**
 * Maps the policy settings of the configuration to the settings of the roles.
 *
 * An operator selects a policy by name. Numbers that the policy doesn't set
 * keep their defaults.
 */
import type { PolicySetting } from "@camphorlock/types";
import {
  type AdmissionSettings,
  DEFAULT_ADMISSION_SETTINGS,
} from "../admission/mod.ts";
import {
  DEFAULT_DISPATCH_SETTINGS,
  type DispatchSettings,
} from "../dispatch/mod.ts";
import {
  DEFAULT_PLACEMENT_SETTINGS,
  type PlacementPolicy,
  type PlacementSettings,
} from "../placement/mod.ts";

const PERCENT = 100;

/** The settings of the policy roles. */
export interface NodePolicySettings {
  readonly placement: PlacementSettings;
  readonly dispatch: DispatchSettings;
  readonly admission: AdmissionSettings;
}

/** Builds the settings from the policies of the configuration. */
export function buildPolicySettings(
  policies: readonly PolicySetting[],
): NodePolicySettings {
  const find = (name: string): string | undefined =>
    policies.find((each) => each.name === name)?.value;
  return {
    placement: buildPlacement(find),
    dispatch: buildDispatch(find),
    admission: buildAdmission(find),
  };
}

type FindSetting = (name: string) => string | undefined;

function buildPlacement(find: FindSetting): PlacementSettings {
  const defaults = DEFAULT_PLACEMENT_SETTINGS;
  const kind = find("placement") as PlacementPolicy["kind"] | undefined;
  return {
    ...defaults,
    policy: kind === undefined ? defaults.policy : { kind },
    slowTargets: find("slow_targets") === "ignore"
      ? { kind: "ignore" }
      : defaults.slowTargets,
  };
}

function buildDispatch(find: FindSetting): DispatchSettings {
  const defaults = DEFAULT_DISPATCH_SETTINGS;
  const roomPercent = find("short_room_percent");
  return {
    ...defaults,
    order: find("ordering") === "first_come"
      ? { kind: "first_come" }
      : defaults.order,
    share: find("fair_share") === "none" ? { kind: "none" } : defaults.share,
    shortRoom: roomPercent === undefined
      ? defaults.shortRoom
      : { kind: "reserved", slotShare: Number(roomPercent) / PERCENT },
  };
}

function buildAdmission(find: FindSetting): AdmissionSettings {
  const defaults = DEFAULT_ADMISSION_SETTINGS;
  if (find("crest") !== "queue") return defaults;
  return { ...defaults, crest: { kind: "queue" } };
}

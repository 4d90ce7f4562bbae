/**
 * Maps settings to the limits of a node's roles.
 */
import type { NodeLimits } from "@camphorlock/scheduler";
import type { NodeSettings } from "../settings/schema.ts";

/** Overrides the default limits with those that the settings contain. */
export function buildLimits(
  settings: NodeSettings,
  defaults: NodeLimits,
): NodeLimits {
  const { calls, installation, platform } = settings;
  return {
    ...defaults,
    entry: { ...defaults.entry, requestTimeoutMs: calls.give_up_ms },
    owner: {
      ...defaults.owner,
      maxCallsOfProgram: calls.max_calls_of_program,
      placeTimeoutMs: calls.place_timeout_ms,
      progressTimeoutMs: calls.progress_timeout_ms,
    },
    assignment: {
      ...defaults.assignment,
      shardCount: installation.shard_count,
    },
    writesPerSecond: platform.writes_per_second,
  };
}

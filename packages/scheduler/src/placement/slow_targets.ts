/**
 * Finds targets that are slower than their peers of the same model.
 *
 * The time between tokens is compared relative to the time expected for the
 * batch size, since a fuller target is slower without being impaired.
 */
import { checkNever } from "@camphorlock/types";
import type { ObservedLoad } from "./load_table.ts";
import type { EstimateSettings, SlowTargetPolicy } from "./settings.ts";

const MAX_COMPARED_TARGETS = 64;
const UNMEASURED_SPEED = 0.6;

/** Sets each target's speed relative to the median of its peers. */
export function updateSpeeds(
  peers: readonly ObservedLoad[],
  estimate: EstimateSettings,
): void {
  const measured: { known: ObservedLoad; slowdown: number }[] = [];
  for (const peer of peers) {
    const slowdown = computeSlowdown(peer, estimate);
    if (slowdown === undefined) peer.speed = computeUnmeasuredSpeed(peer.speed);
    else measured.push({ known: peer, slowdown });
  }
  const sample = measured.slice(0, MAX_COMPARED_TARGETS).map((each) =>
    each.slowdown
  );
  const median = computeMedian(sample);
  for (const { known: peer, slowdown } of measured) {
    peer.speed = Math.min(1.5, median / slowdown);
  }
}

/** Whether new work currently avoids the target. */
export function isAvoided(
  observed: ObservedLoad | undefined,
  policy: SlowTargetPolicy,
): boolean {
  switch (policy.kind) {
    case "ignore":
      return false;
    case "shift":
      return observed !== undefined && observed.speed < policy.slowBelow;
    default:
      return checkNever(policy);
  }
}

/**
 * Computes the speed of a target without a measured time between tokens. A
 * target that was slow is used again, but after its peers, until a measurement
 * shows that it's as fast as they are.
 */
function computeUnmeasuredSpeed(speed: number): number {
  return speed < 1 ? Math.max(speed, UNMEASURED_SPEED) : 1;
}

/** Computes the measured time per token over the one expected for the batch. */
function computeSlowdown(
  observed: ObservedLoad,
  estimate: EstimateSettings,
): number | undefined {
  const { tokenMs, running } = observed.load;
  if (tokenMs === undefined || tokenMs <= 0) return undefined;
  return tokenMs / (estimate.tokenMs + running * estimate.tokenPerSequenceMs);
}

function computeMedian(values: readonly number[]): number {
  if (values.length === 0) return 1;
  const sorted = [...values].sort((left, right) => left - right);
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
  return lower;
}

/**
 * Finds targets that are slower than their peers of the same model.
 *
 * The time between tokens is compared after allowing for the batch, since a
 * fuller target is slower without being disturbed.
 */
import { checkNever } from "@camphorlock/types";
import type { KnownLoad } from "./load_table.ts";
import type { EstimateSettings, SlowTargetPolicy } from "./settings.ts";

const MOST_COMPARED = 64;
const RETURN_SPEED = 0.6;

/** Sets each target's speed relative to the median of its peers. */
export function updateSpeeds(
  peers: readonly KnownLoad[],
  estimate: EstimateSettings,
): void {
  const measured: { known: KnownLoad; excess: number }[] = [];
  for (const known of peers) {
    const excess = computeExcess(known, estimate);
    if (excess === undefined) known.speed = computeReturnSpeed(known.speed);
    else measured.push({ known, excess });
  }
  const sample = measured.slice(0, MOST_COMPARED).map((each) => each.excess);
  const median = computeMedian(sample);
  for (const { known, excess } of measured) {
    known.speed = Math.min(1.5, median / excess);
  }
}

/** Whether new work avoids the target at present. */
export function isAvoided(
  known: KnownLoad | undefined,
  policy: SlowTargetPolicy,
): boolean {
  switch (policy.kind) {
    case "ignore":
      return false;
    case "shift":
      return known !== undefined && known.speed < policy.slowBelow;
    default:
      return checkNever(policy);
  }
}

/**
 * A target that was slow and isn't observed any more is used again, but after
 * its peers, until it's observed to be as fast as they are.
 */
function computeReturnSpeed(speed: number): number {
  return speed < 1 ? Math.max(speed, RETURN_SPEED) : 1;
}

/** The observed time of a token over the usual one at the same batch. */
function computeExcess(
  known: KnownLoad,
  estimate: EstimateSettings,
): number | undefined {
  const { tokenMs, running } = known.load;
  if (tokenMs === undefined || tokenMs <= 0) return undefined;
  return tokenMs / (estimate.tokenMs + running * estimate.tokenPerSequenceMs);
}

function computeMedian(values: readonly number[]): number {
  if (values.length === 0) return 1;
  const sorted = [...values].sort((left, right) => left - right);
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
  return lower;
}

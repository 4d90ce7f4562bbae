/**
 * Formats a choice of a target for the request's log line.
 */
import type { RecordedChoice } from "./placement.ts";

/**
 * Formats a choice: the target, the expected ms by part and in all, the number
 * of candidates, and the age of the load view in ms, if there was one.
 */
export function formatChoice(
  { entry, estimate, candidates, viewAgeMs }: RecordedChoice,
): string {
  const { waitMs, readMs, runMs, networkMs, totalMs } = estimate;
  const parts = Object.entries({
    wait: waitMs,
    read: readMs,
    run: runMs,
    network: networkMs,
    total: totalMs,
    of: candidates,
    view: viewAgeMs,
  })
    .filter(([, value]) => Number.isFinite(value))
    .map(([name, value]) => `${name}=${Math.round(value)}`);
  return [entry.target.id, ...parts].join(" ");
}

/**
 * Chooses the target of a request's next attempt.
 */
import { placeRequest } from "../decisions/choose_target.ts";
import { getAddress, type TrackedTarget } from "../decisions/target_table.ts";
import type { PlacementChoice } from "../placement/work_estimate.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import type { RequestAttempts } from "./request_attempts.ts";
import type { RequestReport } from "./request_end.ts";

/** What the choice depends on. */
export interface NextTargetOptions extends RequestReport {
  readonly previousTargetId: string | undefined;
  /** Whether only targets may be chosen that may already run the request. */
  readonly onlyRunners: boolean;
  /** Targets there may have been ended by the request. */
  readonly avoidedAddress: string | undefined;
}

/** Whether any target may take the request, now or after a wait. */
export function hasUsableTarget(
  { targets }: Pick<ExchangeDependencies, "targets">,
  { sends, service }: RequestReport,
): boolean {
  const ready = targets.listReady(service, performance.now());
  return ready.length === 0 ||
    sends.start.filterTargets(ready, targets).length > 0;
}

/** Chooses the next target; undefined if none can take the request now. */
export function chooseNextTarget(
  { targets, placement, permits }: Pick<
    ExchangeDependencies,
    "targets" | "placement" | "permits"
  >,
  options: NextTargetOptions,
): PlacementChoice | undefined {
  const { accepted, sends, service, previousTargetId, onlyRunners } = options;
  const nowMs = performance.now();
  const ready = sends.start
    .filterTargets(targets.listReady(service, nowMs), targets)
    .filter(({ target }) =>
      !permits.isPaused(target.id, nowMs) &&
      getAddress(target) !== options.avoidedAddress &&
      (!onlyRunners || sends.isPossibleRunner(target.id))
    );
  const { prompt, affinityKey } = accepted.fields;
  return placeRequest(ready, {
    ...placement,
    prompt,
    affinityKey,
    isCrashCandidate: sends.isCrashCandidate,
    previousTargetId,
    excluded: sends.excluded,
    nowMs,
  });
}

/**
 * Acquires a target for an attempt: a stream that has begun may go on there, and
 * a target with a limit permits the request. False if another one has to be
 * chosen. Never rejects.
 */
export async function acquireTarget(
  { verifier, permits, targets }: Pick<
    ExchangeDependencies,
    "verifier" | "permits" | "targets"
  >,
  { start, excluded }: RequestAttempts,
  { target }: TrackedTarget,
): Promise<boolean> {
  if (start.hasBegun && !await verifier.confirm(target)) {
    excluded.add(target.id);
    return false;
  }
  return await permits.acquire(target) &&
    targets.isReady(target.id, performance.now());
}

/**
 * Chooses the target of a request's next attempt.
 */
import type { TrackedTarget } from "../decisions/target_table.ts";
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
  // Before a stream has begun, it may go on at any target.
  if (!sends.start.hasBegun) return true;
  const ready = targets.listReady(service, performance.now());
  return ready.length === 0 ||
    sends.start.filterTargets(ready, targets).length > 0;
}

/** Chooses the next target; undefined if none can take the request now. */
export function chooseNextTarget(
  { targets, placement, permits, metrics }: Pick<
    ExchangeDependencies,
    "targets" | "placement" | "permits" | "metrics"
  >,
  options: NextTargetOptions,
): PlacementChoice | undefined {
  const { accepted, sends, service, previousTargetId } = options;
  const nowMs = performance.now();
  const choice = placement.choose(accepted, {
    service,
    previousTargetId: previousTargetId ?? findConversation(accepted, placement),
    isCrashCandidate: sends.isCrashCandidate,
    excluded: sends.excluded,
    avoidedAddress: options.avoidedAddress,
    only: listPermitted(targets, options, nowMs),
    isPaused: (targetId) => permits.isPaused(targetId, nowMs),
  }, nowMs);
  if (choice === undefined) return undefined;
  sends.choice = choice;
  metrics.add(
    Number.isFinite(choice.viewAgeMs)
      ? "choices_with_view"
      : "choices_without_view",
  );
  return choice;
}

/** Finds the target of a turn that brings its whole prompt. */
function findConversation(
  { route, fields }: RequestReport["accepted"],
  { conversations, isLearned }: ExchangeDependencies["placement"],
): string | undefined {
  return isLearned && route.kind === "streaming"
    ? conversations.find(fields)
    : undefined;
}

/** Lists the targets that may run a request bound to some; else undefined. */
function listPermitted(
  targets: ExchangeDependencies["targets"],
  { sends, service, onlyRunners }: NextTargetOptions,
  nowMs: number,
): TrackedTarget[] | undefined {
  if (!onlyRunners && !sends.start.hasBegun) return undefined;
  return sends.start.filterTargets(targets.listReady(service, nowMs), targets)
    .filter(({ target }) => !onlyRunners || sends.isPossibleRunner(target.id));
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

/**
 * Checks of the configuration, of leaving targets and of planned stops.
 */
import type { RunHistory, Violation } from "./run_history.ts";

/** Time after which a leaving target gets nothing new, in milliseconds. */
const LEAVING_GRACE_MS = 5_000;

/** Revisions only rise on each node, and accepted ones are in force at last. */
export function checkConfigurationForward(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, number>();
  for (const { vmId, revision } of history.forced) {
    if (revision < (highest.get(vmId) ?? 0)) {
      const detail = `${vmId} went back to revision ${revision}`;
      violations.push({ check: "configuration_forward", detail });
    }
    highest.set(vmId, Math.max(revision, highest.get(vmId) ?? 0));
  }
  const accepted = Math.max(
    0,
    ...history.accepted.map((each) => each.revision),
  );
  for (const { vmId, revision } of history.finalRevisions) {
    if (revision >= accepted) continue;
    const detail = `${vmId} ended at revision ${revision} of ${accepted}`;
    violations.push({ check: "configuration_forward", detail });
  }
  return violations;
}

/** A leaving target gets no new work after a few seconds. */
export function checkLeavingTargetIdle(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { targetId, acceptedAtMs, untilMs } of history.leaving) {
    for (const run of history.runs) {
      if (run.targetId !== targetId) continue;
      if (run.atMs <= acceptedAtMs + LEAVING_GRACE_MS) continue;
      if (run.atMs >= (untilMs ?? Infinity)) continue;
      const lateMs = Math.round(run.atMs - acceptedAtMs);
      const detail =
        `${targetId} got work ${lateMs} ms after it began to leave`;
      violations.push({ check: "leaving_target_idle", detail });
    }
  }
  return violations;
}

/** A planned stop cuts off no request. */
export function checkPlannedStopGraceful(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { requestId, answers } of history.gracefulRequests) {
    const last = answers.at(-1);
    const isCompleted = last?.kind === "program" ||
      (last?.kind === "outcome" && last.outcome.status === "completed");
    if (isCompleted) continue;
    const found = JSON.stringify(last ?? "no answer").slice(0, 200);
    const detail = `${requestId} ended with ${found}`;
    violations.push({ check: "planned_stop_graceful", detail });
  }
  return violations;
}

/**
 * Checks of configuration revisions, draining targets and graceful shutdowns.
 */
import type { RunHistory, Violation } from "./run_history.ts";

/** Time after which a draining target receives no new calls. */
const DRAIN_GRACE_MS = 5_000;

/**
 * Revisions only increase on each node, and accepted revisions are in force on
 * every node at the end.
 */
export function checkRevisionsIncrease(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  const highest = new Map<string, number>();
  for (const { vmId, revision } of history.servedRevisions) {
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

/** A draining target receives no new calls after the grace period. */
export function checkDrainingTargetIdle(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { targetId, acceptedAtMs, untilMs } of history.leaving) {
    for (const run of history.runs) {
      if (run.targetId !== targetId) continue;
      if (run.atMs <= acceptedAtMs + DRAIN_GRACE_MS) continue;
      if (run.atMs >= (untilMs ?? Infinity)) continue;
      const lateMs = Math.round(run.atMs - acceptedAtMs);
      const detail = `${targetId} received a call ${lateMs} ms after its drain`;
      violations.push({ check: "leaving_target_idle", detail });
    }
  }
  return violations;
}

/** A graceful shutdown interrupts no request. */
export function checkGracefulShutdown(history: RunHistory): Violation[] {
  const violations: Violation[] = [];
  for (const { requestId, responses } of history.gracefulRequests) {
    const last = responses.at(-1);
    const isCompleted = last?.kind === "program" ||
      (last?.kind === "outcome" && last.outcome.status === "completed");
    if (isCompleted) continue;
    const found = JSON.stringify(last ?? "no response").slice(0, 200);
    const detail = `${requestId} ended with ${found}`;
    violations.push({ check: "planned_stop_graceful", detail });
  }
  return violations;
}

/**
 * Chooses the target of a request's next attempt.
 */
import { chooseTarget } from "../decisions/choose_target.ts";
import type { TrackedTarget } from "../decisions/target_table.ts";
import type { ExchangeDependencies } from "./exchange_dependencies.ts";
import type { RequestReport } from "./request_end.ts";

/** What the choice depends on. */
export interface NextTargetOptions extends RequestReport {
  readonly previousTargetId: string | undefined;
  /** Whether only targets may be chosen that may already run the request. */
  readonly onlyRunners: boolean;
}

/** Chooses the next target; undefined if none can take the request now. */
export function chooseNextTarget(
  { targets, placement, permits }: Pick<
    ExchangeDependencies,
    "targets" | "placement" | "permits"
  >,
  { accepted, sends, service, previousTargetId, onlyRunners }:
    NextTargetOptions,
): TrackedTarget | undefined {
  const nowMs = performance.now();
  const ready = targets.listReady(service, nowMs).filter((entry) =>
    !permits.isPaused(entry.target.id, nowMs) &&
    (!onlyRunners || sends.isPossibleRunner(entry.target.id))
  );
  const { prompt, affinityKey } = accepted.fields;
  return chooseTarget(ready, {
    ...placement,
    prompt,
    affinityKey,
    isSuspect: sends.isSuspect,
    previousTargetId,
    excluded: sends.excluded,
    nowMs,
  });
}

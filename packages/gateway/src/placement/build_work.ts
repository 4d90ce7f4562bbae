/**
 * What a chosen target's work on a request is expected to be, to compare it
 * with what is observed.
 */
import type { AttemptWork } from "../decisions/held_work.ts";
import type { PlacementRequest } from "./choose_target.ts";
import {
  computeRunMs,
  countOwnTokens,
  countUncached,
  listShared,
  type WorkInputs,
} from "./compute_estimate.ts";
import type { LoadSource } from "./target_load.ts";
import type { PlacementChoice } from "./work_estimate.ts";

/** Builds the expected work. */
export function buildWork(
  { entry, estimate }: PlacementChoice,
  request: PlacementRequest & { readonly work: WorkInputs },
  source: LoadSource,
): AttemptWork {
  const { work, prompt, nowMs } = request;
  const { model, key } = work;
  const load = source.find(entry.target.id, nowMs);
  const uncachedTokens = countUncached(entry, request, load);
  const runMs = model.computeReadMs(key.service, uncachedTokens) +
    computeRunMs(work);
  const lateMs = work.isStream ? runMs : model.computeCall(key)?.lateMs ?? 0;
  return {
    firstMs: estimate.totalMs - (work.isStream ? estimate.runMs : 0),
    runMs,
    lateMs: Math.max(runMs, lateMs),
    uncachedTokens,
    waitMs: estimate.waitMs,
    ownTokens: countOwnTokens(request, work),
    shared: work.isStream ? listShared(prompt) : [],
  };
}

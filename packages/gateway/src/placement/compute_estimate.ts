/**
 * Estimates what a request costs at one target, from the learned costs where
 * there are any and from fixed ones else.
 */
import type { TrackedTarget } from "../decisions/target_table.ts";
import type { PromptPart, RequestFields } from "../model/request_fields.ts";
import type { LoadSource, TargetLoad } from "./target_load.ts";
import type { WorkEstimate } from "./work_estimate.ts";
import type { WorkKey, WorkModel } from "./work_model.ts";

/** Prompt tokens that an engine prefills per ms while nothing was learned. */
const PREFILL_TOKENS_PER_MS = 500;
/** Round trip to another failure domain of the region. */
const CROSS_DOMAIN_COST_MS = 3;
/** Round trip to another region, plus a penalty for the cost of its traffic. */
const CROSS_REGION_COST_MS = 30;
/** Delay that each running request causes while slots are free. */
const RUNNING_REQUEST_COST_MS = 4;
/** Wait for each request ahead while no slot is free. */
const QUEUED_REQUEST_COST_MS = 40;
/** Share of its memory that a target's requests may hold. */
const MAX_MEMORY_SHARE = 0.9;
const CROWDING_WEIGHT = 0.7;
/** Until a request arrives, others choose by the same view. */
const DECISION_LEAD_MS = 100;
/**
 * Without a view, the speeds of targets count less: all gateways would overfill
 * the fast ones, and none would see it.
 */
const BLIND_SPEED_EXPONENT = 0.5;
/** Spread of the number of requests beside that of random arrivals. */
const SPREAD_FACTOR = 0.8;

/** Where a request arrived. */
export interface Location {
  readonly failureDomain: string;
  readonly regions: ReadonlyMap<string, string>;
}

/** What the learned costs of a request depend on. */
export interface WorkInputs {
  readonly model: WorkModel;
  readonly load: LoadSource;
  readonly key: WorkKey;
  readonly isStream: boolean;
  /** Tokens that a target's memory holds; undefined if not stated. */
  readonly memoryTokens: number | undefined;
  readonly lengths: Pick<
    RequestFields,
    "promptTokens" | "maxOutputTokens" | "outputHint"
  >;
}

/** The request, as far as the cost at a target depends on it. */
export interface EstimatedRequest extends Location {
  readonly prompt: readonly PromptPart[];
  readonly previousTargetId?: string | undefined;
  readonly work?: WorkInputs;
  readonly nowMs: number;
}

/** Computes the expected cost of a request at a target. */
export function computeEstimate(
  candidate: TrackedTarget,
  request: EstimatedRequest,
): WorkEstimate {
  const { target } = candidate;
  const { work, nowMs } = request;
  const load = work?.load.find(target.id, nowMs);
  const uncached = countUncached(candidate, request, load);
  const networkMs = computeNetworkMs(target.failureDomain, request);
  if (work === undefined || !work.model.isKnown(work.key.service)) {
    const waitMs = computeFixedWaitMs(candidate, nowMs, load);
    const readMs = uncached / PREFILL_TOKENS_PER_MS;
    const totalMs = waitMs + readMs + networkMs;
    const tokens = work === undefined ? 0 : countOwnTokens(request, work);
    return { waitMs, readMs, runMs: 0, networkMs, totalMs, tokens };
  }
  const { model, key } = work;
  const known = model.computeSpeed(target.id, nowMs, load?.speeds);
  const speed = load === undefined ? known ** BLIND_SPEED_EXPONENT : known;
  const typicalMs = model.computeTypicalMs(key.service);
  const others = load === undefined ? 0 : computeOthers(load, typicalMs);
  const running = candidate.running + others;
  const waitMs = load === undefined
    ? computeOwnWaitMs(candidate, work, nowMs) / speed +
      candidate.computeQueueDelayMs(nowMs)
    : computeWaitMs(candidate, load, { typicalMs, others, nowMs }) / speed +
      candidate.computeSilenceMs(nowMs);
  const readMs = model.computeReadMs(key.service, uncached) / speed;
  const runMs = computeRunMs(work) / speed +
    Math.min(running, target.slots) * RUNNING_REQUEST_COST_MS;
  return {
    waitMs,
    readMs,
    runMs,
    networkMs,
    totalMs: waitMs + readMs + runMs + networkMs,
    tokens: countOwnTokens(request, work),
  };
}

/**
 * Computes by how much a request delays those that come after it: while no slot
 * is free, by about its own time. Without it, the fast targets of a busy service
 * would be overfilled until their wait makes up for the slowness of the others.
 */
export function computeCrowdingMs(
  { target, running }: TrackedTarget,
  { work, nowMs }: EstimatedRequest,
): number {
  const load = work?.load.find(target.id, nowMs);
  if (work === undefined || load === undefined) return 0;
  const { model, key } = work;
  const typicalMs = model.computeTypicalMs(key.service);
  const slots = Math.max(1, target.slots);
  const count = running + computeOthers(load, typicalMs) + 1;
  const excess = (count - slots) / computeSpread(load, typicalMs);
  const speed = model.computeSpeed(target.id, nowMs, load.speeds);
  return CROWDING_WEIGHT * typicalMs / speed * count / slots /
    (1 + Math.exp(-excess));
}

/** Whether the target's memory holds the request beside the others there. */
export function canHold(
  { target, held }: TrackedTarget,
  request: EstimatedRequest,
): boolean {
  const { work, nowMs } = request;
  if (work?.memoryTokens === undefined) return true;
  const load = work.load.find(target.id, nowMs);
  const parts = new Map(
    [...held.parts].map(([id, { tokens }]) => [id, tokens]),
  );
  for (const id of load?.heldParts ?? []) {
    parts.set(id, load?.cachedParts.get(id) ?? 0);
  }
  for (const { id, tokens } of listShared(request.prompt)) {
    parts.set(id, tokens);
  }
  const sharedTokens = [...parts.values()].reduce((sum, each) => sum + each, 0);
  const tokens = held.ownTokens + (load?.ownTokens ?? 0) + sharedTokens +
    countOwnTokens(request, work);
  return tokens <= work.memoryTokens * MAX_MEMORY_SHARE;
}

/** Lists the parts that other requests may share: all but the last one. */
export function listShared(prompt: readonly PromptPart[]): PromptPart[] {
  return prompt.slice(0, -1);
}

/** Counts the prompt tokens that the target probably hasn't cached. */
export function countUncached(
  { target, prefixes, held }: TrackedTarget,
  { prompt, previousTargetId }: EstimatedRequest,
  load: TargetLoad | undefined,
): number {
  // Another gateway may have sent the conversation so far to this target.
  if (target.id === previousTargetId) return 0;
  if (load === undefined) return prefixes.countUncached(prompt);
  // The view doesn't have what this gateway has just sent.
  const shared = prompt.findIndex(({ id }, index) =>
    index < prompt.length - 1 && !load.cachedParts.has(id) &&
    !held.parts.has(id)
  );
  return prefixes.countUncached(prompt, shared);
}

/** Whether the target probably has all parts that requests may share. */
export function hasShared(
  { target, prefixes, held }: TrackedTarget,
  { prompt, work, nowMs }: EstimatedRequest,
): boolean {
  const load = work?.load.find(target.id, nowMs);
  if (load === undefined) {
    return prefixes.countUncached(listShared(prompt)) === 0;
  }
  return listShared(prompt).every(({ id }) =>
    load.cachedParts.has(id) || held.parts.has(id)
  );
}

/** Computes the time of the generation or call at average speed. */
export function computeRunMs(
  { model, key, isStream, lengths }: WorkInputs,
): number {
  return isStream
    ? model.computeGenerationMs(key.service, model.computeTokens(key, lengths))
    : model.computeCall(key)?.meanMs ?? model.computeTypicalMs(key.service);
}

/** Counts the tokens that only this request holds, at most. */
export function countOwnTokens(
  { prompt }: Pick<EstimatedRequest, "prompt">,
  { model, key, isStream, lengths }: WorkInputs,
): number {
  if (!isStream) return 0;
  const sharedTokens = sumTokens(listShared(prompt));
  const promptTokens = Math.max(sumTokens(prompt), lengths.promptTokens ?? 0);
  return promptTokens - sharedTokens +
    (lengths.maxOutputTokens ?? model.computeTokens(key, lengths));
}

/** Computes the network round trip to a failure domain. */
export function computeNetworkMs(domain: string, from: Location): number {
  if (domain === from.failureDomain) return 0;
  const { regions } = from;
  return regions.get(domain) === regions.get(from.failureDomain)
    ? CROSS_DOMAIN_COST_MS
    : CROSS_REGION_COST_MS;
}

/** Share of the requests of a view that still run. */
function computeKept({ ageMs }: TargetLoad, typicalMs: number): number {
  return Math.exp(-(ageMs + DECISION_LEAD_MS) / typicalMs);
}

/** Spread of the number of requests that are likely to run by now. */
function computeSpread(load: TargetLoad, typicalMs: number): number {
  const changed = 1 - computeKept(load, typicalMs);
  const running = load.running + load.typicalRunning;
  return SPREAD_FACTOR * Math.sqrt(changed * running + 0.1);
}

/** Requests of others that are likely to run at a target by now. */
function computeOthers(load: TargetLoad, typicalMs: number): number {
  const kept = computeKept(load, typicalMs);
  return load.running * kept + load.typicalRunning * (1 - kept);
}

/**
 * Waits behind all requests there, as far as no slot is free. What the view says
 * is past: in the meantime some of the requests have ended, and others came that
 * more or less follow the mean. So the wait is the expected one over the numbers
 * that are likely now, and no target looks idle to all gateways at once.
 */
function computeWaitMs(
  { target, running, held }: TrackedTarget,
  load: TargetLoad,
  { typicalMs, others, nowMs }: {
    typicalMs: number;
    others: number;
    nowMs: number;
  },
): number {
  const slots = Math.max(1, target.slots);
  const spread = computeSpread(load, typicalMs);
  const excess = (running + others + 1 - slots) / spread;
  const queued = excess > 20
    ? excess * spread
    : spread * Math.log1p(Math.exp(excess));
  const count = running + load.running;
  const meanMs = count === 0
    ? typicalMs
    : (held.computeRemainingMs(nowMs) + load.remainingMs) / count;
  return queued * Math.max(meanMs, typicalMs * 0.3) / slots;
}

/** Waits behind this gateway's requests; the others' are unknown. */
function computeOwnWaitMs(
  { target, running, held }: TrackedTarget,
  { model, key }: WorkInputs,
  nowMs: number,
): number {
  const slots = Math.max(1, target.slots);
  const queued = Math.max(0, running + 1 - slots);
  if (queued === 0) return 0;
  const remainingMs = Math.max(
    held.computeRemainingMs(nowMs) / running,
    model.computeTypicalMs(key.service) / 2,
  );
  return queued * remainingMs / slots;
}

/** The wait while nothing was learned of the service. */
function computeFixedWaitMs(
  candidate: TrackedTarget,
  nowMs: number,
  load: TargetLoad | undefined,
): number {
  const running = candidate.running + (load?.running ?? 0);
  const queued = Math.max(0, running + 1 - Math.max(1, candidate.target.slots));
  return running * RUNNING_REQUEST_COST_MS +
    queued * QUEUED_REQUEST_COST_MS +
    candidate.computeQueueDelayMs(nowMs);
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/**
 * Chooses the target of a request.
 *
 * Many gateways place short, steady work and bursts at the same time, each with
 * only its own view of the targets. The target with the lowest expected time to
 * first token is chosen. This is the sum of the prefill time of the prompt
 * tokens that the target hasn't cached, the wait behind this gateway's requests
 * there, the extra delay observed there recently, and the network round trip.
 * Gateways break ties in different orders, so that they don't all fill the same
 * target; requests about one object go to the same target from all gateways.
 * The target of the previous turn has the conversation so far in its cache.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { PromptPart } from "../model/request_fields.ts";
import type {
  PlacementChoice,
  WorkEstimate,
} from "../placement/work_estimate.ts";
import type { TrackedTarget } from "./target_table.ts";

/** Prompt tokens that an engine prefills per ms; engines vary little. */
const PREFILL_TOKENS_PER_MS = 500;
/** Round trip to another failure domain of the region. */
const CROSS_DOMAIN_COST_MS = 3;
/** Round trip to another region, plus a penalty for the cost of its traffic. */
const CROSS_REGION_COST_MS = 30;
/** Delay that each running request causes while slots are free. */
const RUNNING_REQUEST_COST_MS = 4;
/**
 * Keeps a request whose target has just ended and other requests apart: what
 * runs beside it would be lost with it, and couldn't be told from it.
 */
const CRASH_CANDIDATE_COST_MS = 100;
/** Wait for each request ahead while no slot is free. */
const QUEUED_REQUEST_COST_MS = 40;

/** Where the request arrived, and what it needs. */
export interface PlacementRequest {
  readonly prompt: readonly PromptPart[];
  /** The target whose cache holds the conversation so far. */
  readonly previousTargetId?: string | undefined;
  /** Names the object of the request; its last target handles it faster. */
  readonly affinityKey?: string | undefined;
  readonly failureDomain: string;
  readonly regions: ReadonlyMap<string, string>;
  /** Whether a target has just ended while it ran this request. */
  readonly isCrashCandidate?: boolean;
  /** Targets that already rejected this request. */
  readonly excluded: ReadonlySet<string>;
  readonly nowMs: number;
  /** The VM of the gateway that chooses. */
  readonly vmId: string;
}

/** Chooses a target and estimates the cost of the request there. */
export function placeRequest(
  targets: readonly TrackedTarget[],
  request: PlacementRequest,
): PlacementChoice | undefined {
  const entry = chooseTarget(targets, request);
  return entry && { entry, estimate: computeEstimate(entry, request) };
}

/** Chooses among targets that accept work; undefined if all are excluded. */
export function chooseTarget(
  targets: readonly TrackedTarget[],
  request: PlacementRequest,
): TrackedTarget | undefined {
  const eligible = targets.filter(({ target }) =>
    !request.excluded.has(target.id)
  );
  const healthy = eligible.filter(({ avoidedUntilMs }) =>
    avoidedUntilMs <= request.nowMs
  );
  const candidates = healthy.length > 0 ? healthy : eligible;
  let best: TrackedTarget | undefined;
  let bestCostMs = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const costMs = computeCostMs(candidate, request);
    if (costMs > bestCostMs) continue;
    if (
      costMs === bestCostMs && best !== undefined &&
      computeTieBreak(candidate, request) < computeTieBreak(best, request)
    ) continue;
    best = candidate;
    bestCostMs = costMs;
  }
  return best;
}

function computeCostMs(
  candidate: TrackedTarget,
  request: PlacementRequest,
): number {
  const { running, crashCandidates } = candidate;
  const unwanted = request.isCrashCandidate === true
    ? running
    : crashCandidates;
  return computeEstimate(candidate, request).totalMs +
    unwanted * CRASH_CANDIDATE_COST_MS;
}

function computeEstimate(
  candidate: TrackedTarget,
  request: PlacementRequest,
): WorkEstimate {
  const { target, running, prefixes } = candidate;
  const queued = Math.max(0, running + 1 - Math.max(1, target.slots));
  // Another gateway may have sent the conversation so far to this target.
  const uncached = target.id === request.previousTargetId
    ? 0
    : prefixes.countUncached(request.prompt);
  const waitMs = running * RUNNING_REQUEST_COST_MS +
    queued * QUEUED_REQUEST_COST_MS +
    candidate.computeQueueDelayMs(request.nowMs);
  const readMs = uncached / PREFILL_TOKENS_PER_MS;
  const networkMs = computeNetworkCostMs(target.failureDomain, request);
  return {
    waitMs,
    readMs,
    runMs: 0,
    networkMs,
    totalMs: waitMs + readMs + networkMs,
    tokens: 0,
  };
}

function computeTieBreak(
  candidate: TrackedTarget,
  { vmId, affinityKey }: PlacementRequest,
): number {
  return computeHash(`${affinityKey ?? vmId}|${candidate.target.id}`);
}

function computeNetworkCostMs(
  domain: string,
  request: PlacementRequest,
): number {
  if (domain === request.failureDomain) return 0;
  const { regions } = request;
  return regions.get(domain) === regions.get(request.failureDomain)
    ? CROSS_DOMAIN_COST_MS
    : CROSS_REGION_COST_MS;
}

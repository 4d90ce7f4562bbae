/**
 * Chooses the target of a request.
 *
 * Many gateways place steady work and bursts at the same time, with targets of
 * uneven speeds and prompts that share parts. The target with the lowest
 * expected time to the end of the request is chosen, with some weight on the
 * time to the first event: the wait there, the prefill of the prompt tokens that
 * it hasn't cached, the generation or call, and the network round trip. While
 * nothing was learned of a service, these are fixed values. Gateways break ties
 * at random or in different orders, so that they don't all fill the same target;
 * requests about one object go to the same target from all gateways. The target
 * of the previous turn has the conversation so far in its cache.
 */
import { computeHash } from "@camphorlock/scheduler/hash";
import type { TrackedTarget } from "../decisions/target_table.ts";
import {
  canHold,
  computeCrowdingMs,
  computeEstimate,
  type EstimatedRequest,
} from "./compute_estimate.ts";
import type { PlacementChoice } from "./work_estimate.ts";

/**
 * Keeps a request whose target has just ended and other requests apart: what
 * runs beside it would be lost with it, and couldn't be told from it.
 */
export const CRASH_CANDIDATE_COST_MS = 100;
/** What the first event counts beside the end; callers watch both. */
const FIRST_EVENT_WEIGHT = 0.25;
/**
 * Costs that differ by less than this count as equal, so that gateways with the
 * same view don't all choose the same target.
 */
const EQUAL_COST_SHARE = 0.2;
/** The same for short requests: below a round trip between domains. */
const EQUAL_COST_MS = 2;
/** What it may cost to keep the requests about one object at one target. */
const OBJECT_COST_SHARE = 0.25;
const OBJECT_COST_MS = 4;
/**
 * Share of a read that doesn't count where the requests of a shared part are to
 * meet: the read serves the ones that follow.
 */
const MEETING_SHARE = 0.5;

/** Where the request arrived, and what it needs. */
export interface PlacementRequest extends EstimatedRequest {
  /** Names the object of the request; its last target handles it faster. */
  readonly affinityKey?: string | undefined;
  /** Whether a target has just ended while it ran this request. */
  readonly isCrashCandidate?: boolean;
  /** Targets that already rejected this request. */
  readonly excluded: ReadonlySet<string>;
  /** The VM of the gateway that chooses. */
  readonly vmId: string;
  /**
   * Targets at which the requests of the prompt's shared parts or about the
   * object meet, the first ones preferred.
   */
  readonly meetingTargets?: ReadonlySet<string>;
  /** A random number from 0 to 1; without it, ties are broken by rank. */
  readonly takeRandom?: () => number;
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
  const eligible = targets.filter((candidate) =>
    !request.excluded.has(candidate.target.id) && canHold(candidate, request)
  );
  const healthy = eligible.filter(({ avoidedUntilMs }) =>
    avoidedUntilMs <= request.nowMs
  );
  const candidates = (healthy.length > 0 ? healthy : eligible)
    .map((candidate) => ({
      candidate,
      costMs: computeCostMs(candidate, request),
    }));
  const bestMs = Math.min(...candidates.map(({ costMs }) => costMs));
  const { takeRandom, affinityKey, meetingTargets } = request;
  const isObject = affinityKey !== undefined;
  if (takeRandom === undefined) {
    const equal = candidates.filter(({ costMs }) => costMs === bestMs);
    return chooseByRank(equal.map(({ candidate }) => candidate), request);
  }
  const limitMs = isObject
    ? bestMs * (1 + OBJECT_COST_SHARE) + OBJECT_COST_MS
    : bestMs * (1 + EQUAL_COST_SHARE) + EQUAL_COST_MS;
  const equal = candidates.filter(({ costMs }) => costMs <= limitMs)
    .map(({ candidate }) => candidate);
  const previous = equal.find(({ target }) =>
    target.id === request.previousTargetId
  );
  if (previous !== undefined) return previous;
  if (!isObject) return chooseInTurn(equal, takeRandom);
  for (const id of meetingTargets ?? []) {
    const first = equal.find(({ target }) => target.id === id);
    if (first !== undefined) return first;
  }
  return chooseByRank(equal, request);
}

/**
 * Chooses the target that this gateway has left out longest. The order differs
 * from gateway to gateway as much as a random one, and spreads the requests of
 * each more evenly.
 */
function chooseInTurn(
  equal: readonly TrackedTarget[],
  takeRandom: () => number,
): TrackedTarget | undefined {
  const sinceMs = Math.min(...equal.map(({ lastSentAtMs }) => lastSentAtMs));
  const first = equal.filter(({ lastSentAtMs }) => lastSentAtMs === sinceMs);
  return first[Math.floor(takeRandom() * first.length)];
}

function chooseByRank(
  equal: readonly TrackedTarget[],
  request: PlacementRequest,
): TrackedTarget | undefined {
  const [first, ...others] = equal;
  if (first === undefined) return undefined;
  let best = first;
  let bestRank = computeTieBreak(first, request);
  for (const candidate of others) {
    const rank = computeTieBreak(candidate, request);
    if (rank < bestRank) continue;
    best = candidate;
    bestRank = rank;
  }
  return best;
}

function computeCostMs(
  candidate: TrackedTarget,
  request: PlacementRequest,
): number {
  const { running, crashCandidates, target } = candidate;
  const unwanted = request.isCrashCandidate === true
    ? running
    : crashCandidates;
  const { totalMs, runMs, readMs } = computeEstimate(candidate, request);
  const firstMs = runMs === 0 ? 0 : totalMs - runMs;
  const meetsMs = request.meetingTargets?.has(target.id) === true ? readMs : 0;
  return totalMs + computeCrowdingMs(candidate, request) +
    firstMs * FIRST_EVENT_WEIGHT - meetsMs * MEETING_SHARE +
    unwanted * CRASH_CANDIDATE_COST_MS;
}

function computeTieBreak(
  candidate: TrackedTarget,
  { vmId, affinityKey }: PlacementRequest,
): number {
  return computeHash(`${affinityKey ?? vmId}|${candidate.target.id}`);
}

/** Whether there is no choice, or only one that has just failed. */
export function isLastResort(
  choice: PlacementChoice | undefined,
  nowMs: number,
): boolean {
  return choice === undefined || choice.entry.avoidedUntilMs > nowMs;
}

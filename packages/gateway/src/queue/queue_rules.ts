/**
 * When a request waits in the queue rather than at a target, when it can't be
 * answered in time any more, and when a refused caller returns.
 *
 * A target's queue is first in, first out. What waits there delays every later
 * request, so a less urgent class may add less to it. The allowance is never
 * zero: 70 gateways see the same free place, and a short queue at each target
 * keeps it busy while they decide.
 */
import type { WorkEstimate } from "../placement/work_estimate.ts";

/** Shortest time in which a target can respond. */
const MIN_RESPONSE_MS = 20;
/**
 * Share of the time left that is kept for the work itself. Estimates of the
 * output are often far off, so that they alone refuse nobody.
 */
const MAX_WORK_SHARE = 0.5;
/** Share of their remaining time for which callers honour a retry time. */
const HONOURED_SHARE = 1 / 3;
/** Share of the honoured time before which no refused caller returns. */
const MIN_RETURN_SHARE = 0.5;
/** Share of its time in which a request moves up to the most urgent class. */
const AGEING_SHARE = 2 / 3;
/** Work beyond this share of the objective is long. */
const LONG_WORK_SHARE = 0.5;

/** The class of a request. */
export interface RequestClass {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Number of classes of the service. */
  readonly classes: number;
  readonly targetLatencyMs: number;
}

/** Computes the wait at a target that a request may use. */
export function computeMaxBacklogMs(
  { rank, classes, targetLatencyMs }: RequestClass,
): number {
  const steps = Math.max(1, classes - rank);
  return targetLatencyMs * steps / Math.max(classes, steps);
}

/**
 * Computes the wait at a target up to which all classes together should fill
 * it: less than any class may use, since the view is old.
 */
export function computeIntendedBacklogMs(
  { classes, targetLatencyMs }: Omit<RequestClass, "rank">,
): number {
  return targetLatencyMs / (Math.max(1, classes) + 1);
}

/**
 * Whether a request keeps to the gateway's pace. Others make room for the most
 * urgent of several classes and for programs that have begun: of the 20 requests
 * a second that one of 70 gateways has, random bunches alone would delay these
 * by half of their objective.
 */
export function isPaced(
  { rank, classes, hasBegun }: Omit<RequestClass, "targetLatencyMs"> & {
    readonly hasBegun: boolean;
  },
): boolean {
  return !hasBegun && (rank > 0 || classes <= 1);
}

/**
 * Computes how long a request may wait in the queue and still meet its
 * objective, since it waits at the target as well.
 */
export function computeLateAfterMs(
  request: Omit<RequestClass, "rank">,
  workMs: number,
): number {
  const { targetLatencyMs } = request;
  return Math.max(
    0,
    targetLatencyMs - workMs - computeIntendedBacklogMs(request),
  );
}

/** Computes after which time a waiting request moves up by a class. */
export function computePromotionMs(leftMs: number, rank: number): number {
  // From any class, it reaches the most urgent one in the same share of its
  // time; earlier, the classes would be equal in a long crest.
  return rank === 0 ? Number.POSITIVE_INFINITY : leftMs * AGEING_SHARE / rank;
}

/** Computes the work that a request adds to a target. */
export function computeWorkMs(estimate: WorkEstimate | undefined): number {
  // Never zero, so that requests count where nothing is known of their work.
  return 1 + (estimate === undefined ? 0 : estimate.readMs + estimate.runMs);
}

/** Whether a request's work is long for its objective. */
export function isLongWork(
  estimate: WorkEstimate | undefined,
  targetLatencyMs: number,
): boolean {
  return estimate !== undefined &&
    estimate.runMs > targetLatencyMs * LONG_WORK_SHARE;
}

/** Computes how long before its end a request has to go at the latest. */
export function computeReservedMs(
  estimate: WorkEstimate | undefined,
  leftMs: number,
): number {
  const workMs = estimate === undefined
    ? 0
    : estimate.totalMs - estimate.waitMs;
  return Math.max(MIN_RESPONSE_MS, Math.min(workMs, leftMs * MAX_WORK_SHARE));
}

/** What is expected of a request that would wait. */
export interface ExpectedStart {
  readonly estimate: WorkEstimate | undefined;
  readonly maxBacklogMs: number;
  /** Time until the requests before it have gone. */
  readonly aheadMs: number;
  /** Time left until the request can no longer be answered. */
  readonly leftMs: number;
}

/** Computes how long a request is expected to wait in the queue. */
export function computeQueueWaitMs(
  { estimate, maxBacklogMs, aheadMs }: ExpectedStart,
): number {
  const excessMs = (estimate?.waitMs ?? 0) - maxBacklogMs;
  return Math.max(0, aheadMs, excessMs);
}

/** Whether a request can be answered in the time that it has. */
export function canFinish(start: ExpectedStart): boolean {
  const { estimate, maxBacklogMs, leftMs } = start;
  const targetWaitMs = Math.min(estimate?.waitMs ?? 0, maxBacklogMs);
  return computeQueueWaitMs(start) + targetWaitMs +
      computeReservedMs(estimate, leftMs) <= leftMs;
}

/** The times between which a refused caller returns. */
export interface ReturnBounds {
  readonly leastRetryMs: number;
  readonly mostRetryMs: number;
}

/** The refused request. */
export interface RefusedRequest extends Omit<RequestClass, "targetLatencyMs"> {
  /** Expected time until the request would have had its turn. */
  readonly roomInMs: number;
  readonly leftMs: number;
}

/**
 * Computes between which times a refused caller should return. Each class has
 * its part of the time that callers honour, so that they return in the order of
 * the queue also if room comes later.
 */
export function computeReturnBounds(
  { rank, classes, roomInMs, leftMs }: RefusedRequest,
): ReturnBounds {
  const honouredMs = Math.max(1, leftMs * HONOURED_SHARE);
  const parts = Math.max(1, classes);
  const part = Math.min(rank, parts - 1);
  const spreadMs = honouredMs * (1 - MIN_RETURN_SHARE);
  const earliestMs = honouredMs * MIN_RETURN_SHARE + spreadMs * part / parts;
  return {
    leastRetryMs: Math.min(roomInMs, earliestMs),
    mostRetryMs: earliestMs + spreadMs / parts,
  };
}

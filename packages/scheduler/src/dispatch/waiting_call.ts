/**
 * A call that waits for a slot, and its rank in the queue.
 */
import {
  checkNever,
  type DispatchMessage,
  type ProgramClass,
  type VmId,
} from "@camphorlock/types";
import type { OrderPolicy } from "./settings.ts";

/** A request for a slot. */
export type SlotRequest = Extract<DispatchMessage, { kind: "slot_request" }>;

/** A request for a slot, and the node that sent it. */
export interface WaitingCall {
  readonly from: VmId;
  readonly request: SlotRequest;
  readonly arrivedAtMs: number;
  /** When the node last sent the request, which it repeats while it waits. */
  requestedAtMs: number;
  /** Order of arrival, which breaks ties. */
  readonly number: number;
}

/** Level at which a call starts, by class. */
const CLASS_LEVELS: Readonly<Record<ProgramClass, number>> = {
  short: 0,
  standard: 4,
  background: 8,
};

/**
 * Levels that a call with a cached history moves up. This keeps programs in the
 * cache until they end; otherwise they would evict each other and recompute
 * their prompts.
 */
const CACHED_LEVELS = 3;

/** Counts the prompt tokens that the engine has to compute. */
export function countUncachedTokens(request: SlotRequest): number {
  return Math.max(0, request.promptTokens - request.cachedTokens);
}

/** Whether the call's program has attained no service yet. */
export function isNewProgram(request: SlotRequest): boolean {
  return request.attainedMs === 0;
}

/** Computes a call's rank. The lowest rank gets the next slot. */
export function computeRank(
  call: WaitingCall,
  order: OrderPolicy,
  nowMs: number,
): number {
  switch (order.kind) {
    case "first_come":
      return call.number;
    case "attained_service":
      return computeServiceRank(call, order, nowMs);
    default:
      return checkNever(order);
  }
}

/** Compares two calls of the same rank: the older program goes first. */
export function compareAge(left: WaitingCall, right: WaitingCall): number {
  const leftAge = left.request.programAgeMs ?? 0;
  const rightAge = right.request.programAgeMs ?? 0;
  const leftStart = left.arrivedAtMs - leftAge;
  const rightStart = right.arrivedAtMs - rightAge;
  return leftStart - rightStart || left.number - right.number;
}

function computeServiceRank(
  call: WaitingCall,
  order: Extract<OrderPolicy, { kind: "attained_service" }>,
  nowMs: number,
): number {
  const { attainedMs, programClass, promptTokens } = call.request;
  const waitedMs = nowMs - call.arrivedAtMs;
  const service = Math.log2(Math.max(1, attainedMs / order.firstLevelMs));
  const isCached = call.request.cachedTokens > promptTokens / 2;
  const level = CLASS_LEVELS[programClass] + Math.ceil(service) -
    (isCached ? CACHED_LEVELS : 0);
  return level - Math.floor(waitedMs / order.ageingMs);
}

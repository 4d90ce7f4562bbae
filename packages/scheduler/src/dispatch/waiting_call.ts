/**
 * A call that waits for a slot, and its rank among the others.
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

/** A request for a slot with the node it came from. */
export interface WaitingCall {
  readonly from: VmId;
  readonly request: SlotRequest;
  readonly arrivedAtMs: number;
  /** When the node last asked; it repeats a request that waits. */
  heardAtMs: number;
  /** Order of arrival, for equals. */
  readonly number: number;
}

const CLASS_LEVELS: Readonly<Record<ProgramClass, number>> = {
  short: 0,
  standard: 4,
  background: 8,
};

/**
 * Levels by which a call rises whose history is cached. Work on cached programs
 * goes on, instead of evicting them in turn and computing each anew.
 */
const CACHED_LEVELS = 3;

/** Counts the prompt tokens that the engine has to compute. */
export function countUncachedTokens(request: SlotRequest): number {
  return Math.max(0, request.promptTokens - request.cachedTokens);
}

/** Whether the call is the first work of its program. */
export function isFresh(request: SlotRequest): boolean {
  return request.attainedMs === 0;
}

/** Computes a call's rank; the lowest gets the next slot. */
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

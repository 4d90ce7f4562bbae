/**
 * The estimated time until a call placed on a target has ended.
 */
import type { Partner, ProgramClass, TargetLoad } from "@camphorlock/types";
import type { ObservedLoad } from "./load_table.ts";
import type { EstimateSettings } from "./settings.ts";

/** The properties of a call that the estimate uses. */
export interface CallEstimateInput {
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Bytes of the request and the response. */
  readonly bytes: number;
}

/** The properties of a target that the estimate uses. */
export interface TargetEstimateInput {
  readonly known: ObservedLoad | undefined;
  readonly cachedTokens: number;
  readonly isFar: boolean;
  /** False once the load is older than `loadLifeMs`. */
  readonly isRecent: boolean;
}

/** The components of an estimate, in milliseconds. */
export interface FinishEstimate {
  readonly queueMs: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly transferMs: number;
  readonly totalMs: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
/** Share of a target's queue that runs before a call of each class. */
const QUEUE_SHARE_AHEAD: Readonly<Record<ProgramClass, number>> = {
  short: 0.4,
  standard: 0.8,
  background: 1,
};

/** Computes the components of the estimate. */
export function computeFinish(
  call: CallEstimateInput,
  target: TargetEstimateInput,
  settings: EstimateSettings,
): FinishEstimate {
  const load = target.isRecent ? target.known : undefined;
  const speed = Math.max(0.05, target.known?.speed ?? 1);
  const queueMs = computeQueueMs(call, load, settings) / speed;
  const { cachedTokens } = target;
  const prefillMs =
    computePrefillMs(call, { known: load, cachedTokens }, settings) /
    speed;
  const decodeMs = call.completionTokens * computeTokenMs(load, settings) /
    speed;
  const transferMs = target.isFar ? computeTransferMs(call, settings) : 0;
  const totalMs = queueMs + prefillMs + decodeMs + transferMs;
  return { queueMs, prefillMs, decodeMs, transferMs, totalMs };
}

function computeQueueMs(
  call: CallEstimateInput,
  observed: ObservedLoad | undefined,
  settings: EstimateSettings,
): number {
  if (observed === undefined) return settings.unknownMs;
  const { load, callsPlacedSince } = observed;
  const limit = Math.max(1, load.limit);
  const free = Math.max(0, limit - load.running);
  const waiting = countInterleaved(load, call.partner) + callsPlacedSince;
  const ahead = waiting + 1 - free;
  if (ahead <= 0) return 0;
  const slotMs = load.slotMs ?? settings.slotMs;
  return ahead * QUEUE_SHARE_AHEAD[call.programClass] * slotMs / limit;
}

/**
 * Counts the waiting calls that run before a partner's next one. The partners
 * alternate: the partner's own calls, and as many of the other partners' plus
 * one.
 */
function countInterleaved(load: TargetLoad, partner: Partner): number {
  if (load.queuedBy === undefined) return load.queued;
  const own = load.queuedBy.find((each) => each.partner === partner);
  const ownQueued = own?.queued ?? 0;
  const others = Math.max(0, load.queued - ownQueued);
  return ownQueued + Math.min(others, ownQueued + 1);
}

function computePrefillMs(
  call: CallEstimateInput,
  target: Pick<TargetEstimateInput, "known" | "cachedTokens">,
  settings: EstimateSettings,
): number {
  const { known: observed } = target;
  const uncached = Math.max(1, call.promptTokens - target.cachedTokens);
  const tokensAhead = observed === undefined
    ? 0
    : countPromptTokensAhead(call, observed);
  const running = observed?.load.running ?? 0;
  const delayed = running + settings.arrivingCalls;
  const ownTokens = uncached * (1 + settings.interference * delayed);
  return (tokensAhead + ownTokens) * settings.prefillTokenMs;
}

function countPromptTokensAhead(
  call: CallEstimateInput,
  observed: ObservedLoad,
): number {
  const { load, promptTokensPlacedSince } = observed;
  const ahead = countInterleaved(load, call.partner);
  const share = load.queued === 0 ? 0 : ahead / load.queued;
  const waiting = load.queuedPromptTokens * Math.min(1, share);
  return waiting + (load.prefillTokens ?? 0) + promptTokensPlacedSince;
}

function computeTokenMs(
  observed: ObservedLoad | undefined,
  settings: EstimateSettings,
): number {
  if (observed === undefined) return settings.tokenMs;
  const { load, callsPlacedSince } = observed;
  const batch = Math.min(
    load.limit,
    load.running + load.queued + callsPlacedSince,
  );
  return settings.tokenMs + batch * settings.tokenPerSequenceMs;
}

function computeTransferMs(
  call: CallEstimateInput,
  settings: EstimateSettings,
): number {
  const paidMs = call.bytes / BYTES_PER_MEGABYTE * settings.paidMegabyteMs;
  return settings.crossRegionMs + paidMs;
}

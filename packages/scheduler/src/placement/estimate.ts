/**
 * The estimated time until a call placed on a target has ended.
 */
import type { Partner, ProgramClass, TargetLoad } from "@camphorlock/types";
import type { KnownLoad } from "./load_table.ts";
import type { EstimateSettings } from "./settings.ts";

/** What the estimate needs to know of a call. */
export interface CallEstimate {
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  readonly promptTokens: number;
  readonly completionTokens: number;
  /** Bytes that go to the target and back. */
  readonly bytes: number;
}

/** What the estimate needs to know of a target. */
export interface TargetEstimate {
  readonly known: KnownLoad | undefined;
  readonly cachedTokens: number;
  readonly isFar: boolean;
  /** False once the load is too old to rely on. */
  readonly isRecent: boolean;
}

/** The parts of an estimate, in milliseconds. */
export interface FinishEstimate {
  readonly queueMs: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly transferMs: number;
  readonly totalMs: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
/** Share of a target's queue that is ahead of a call of each class. */
const QUEUE_AHEAD: Readonly<Record<ProgramClass, number>> = {
  short: 0.4,
  standard: 0.8,
  background: 1,
};

/** Computes the parts of the estimate. */
export function computeFinish(
  call: CallEstimate,
  target: TargetEstimate,
  settings: EstimateSettings,
): FinishEstimate {
  const load = target.isRecent ? target.known : undefined;
  const speed = Math.max(0.05, target.known?.speed ?? 1);
  const queueMs = computeQueue(call, load, settings) / speed;
  const { cachedTokens } = target;
  const prefillMs =
    computePrefill(call, { known: load, cachedTokens }, settings) /
    speed;
  const decodeMs = call.completionTokens * computeTokenMs(load, settings) /
    speed;
  const transferMs = target.isFar ? computeTransfer(call, settings) : 0;
  const totalMs = queueMs + prefillMs + decodeMs + transferMs;
  return { queueMs, prefillMs, decodeMs, transferMs, totalMs };
}

function computeQueue(
  call: CallEstimate,
  known: KnownLoad | undefined,
  settings: EstimateSettings,
): number {
  if (known === undefined) return settings.unknownMs;
  const { load, placedSince } = known;
  const limit = Math.max(1, load.limit);
  const free = Math.max(0, limit - load.running);
  const waiting = countInterleaved(load, call.partner) + placedSince;
  const ahead = waiting + 1 - free;
  if (ahead <= 0) return 0;
  const slotMs = load.slotMs ?? settings.slotMs;
  return ahead * QUEUE_AHEAD[call.programClass] * slotMs / limit;
}

/**
 * Counts the waiting calls that go before a partner's next one: its own, and as
 * many of the other partner's in turn.
 */
function countInterleaved(load: TargetLoad, partner: Partner): number {
  if (load.queuedBy === undefined) return load.queued;
  const own = load.queuedBy.find((each) => each.partner === partner);
  const ownQueued = own?.queued ?? 0;
  const others = Math.max(0, load.queued - ownQueued);
  return ownQueued + Math.min(others, ownQueued + 1);
}

function computePrefill(
  call: CallEstimate,
  target: Pick<TargetEstimate, "known" | "cachedTokens">,
  settings: EstimateSettings,
): number {
  const { known } = target;
  const uncached = Math.max(1, call.promptTokens - target.cachedTokens);
  const before = known === undefined ? 0 : countTokensBefore(call, known);
  const running = known?.load.running ?? 0;
  const delayed = running + settings.arrivingCalls;
  const own = uncached * (1 + settings.interference * delayed);
  return (before + own) * settings.prefillTokenMs;
}

function countTokensBefore(call: CallEstimate, known: KnownLoad): number {
  const { load, promptTokensSince } = known;
  const ahead = countInterleaved(load, call.partner);
  const share = load.queued === 0 ? 0 : ahead / load.queued;
  const waiting = load.queuedPromptTokens * Math.min(1, share);
  return waiting + (load.prefillTokens ?? 0) + promptTokensSince;
}

function computeTokenMs(
  known: KnownLoad | undefined,
  settings: EstimateSettings,
): number {
  if (known === undefined) return settings.tokenMs;
  const { load, placedSince } = known;
  const batch = Math.min(load.limit, load.running + load.queued + placedSince);
  return settings.tokenMs + batch * settings.tokenPerSequenceMs;
}

function computeTransfer(
  call: CallEstimate,
  settings: EstimateSettings,
): number {
  const paidMs = call.bytes / BYTES_PER_MEGABYTE * settings.paidMegabyteMs;
  return settings.crossRegionMs + paidMs;
}

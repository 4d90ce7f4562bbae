/**
 * The estimated time until a call placed on a target has ended.
 */
import type { ProgramClass } from "@camphorlock/types";
import type { KnownLoad } from "./load_table.ts";
import type { EstimateSettings } from "./settings.ts";

/** What the estimate needs to know of a call. */
export interface CallEstimate {
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
  const uncached = Math.max(1, call.promptTokens - target.cachedTokens);
  const prefillMs = computePrefill(uncached, load, settings) / speed;
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
  if (known === undefined) return 0;
  const { load, placedSince } = known;
  const limit = Math.max(1, load.limit);
  const ahead = load.running + load.queued + placedSince + 1 - limit;
  if (ahead <= 0) return 0;
  const slotMs = load.slotMs ?? settings.slotMs;
  return ahead * QUEUE_AHEAD[call.programClass] * slotMs / limit;
}

function computePrefill(
  uncached: number,
  known: KnownLoad | undefined,
  settings: EstimateSettings,
): number {
  const before = known === undefined
    ? 0
    : known.load.queuedPromptTokens + (known.load.prefillTokens ?? 0) +
      known.promptTokensSince;
  const running = known?.load.running ?? 0;
  const delayed = running + settings.arrivingCalls;
  const own = uncached * (1 + settings.interference * delayed);
  return (before + own) * settings.prefillTokenMs;
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

/**
 * Admits new programs, or refuses them while the pool has more than it can do.
 *
 * Programs begun are never refused here: finishing them frees the pool, while
 * admitting more makes every one of them late. A refusal names a time to come
 * back that spreads the returning callers over the time the backlog needs.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import {
  checkNever,
  type ProgramClass,
  type TargetLoad,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { RandomSource } from "../random/mod.ts";
import type { AdmissionSettings, CrestPolicy } from "./settings.ts";

/** A program that asks to begin. */
export interface AdmissionRequest {
  readonly programClass: ProgramClass;
  /** The pool that its first call would run on, as this node knows it. */
  readonly loads: readonly TargetLoad[];
  /** Time left until the program's deadline, if it has one. */
  readonly leftMs?: number;
}

/** How full a pool is. */
export interface PoolPressure {
  /** Calls that wait, in multiples of the slots. */
  readonly backlog: number;
  /** Expected time until the waiting calls have their slots. */
  readonly drainMs: number;
}

const USUAL_SLOT_MS = 4_000;

/** Computes how full a pool is from the loads of its targets. */
export function computePressure(loads: readonly TargetLoad[]): PoolPressure {
  let slots = 0;
  let excess = 0;
  let slotMs = 0;
  for (const load of loads) {
    slots += load.limit;
    excess += load.running + load.queued - load.limit;
    slotMs += (load.slotMs ?? USUAL_SLOT_MS) * load.limit;
  }
  if (slots === 0) return { backlog: 0, drainMs: 0 };
  const backlog = Math.max(0, excess / slots);
  return { backlog, drainMs: backlog * slotMs / slots };
}

/** Checks whether a new program may begin. Fails with `Overloaded`. */
export function checkAdmission(
  request: AdmissionRequest,
  means: {
    readonly settings: AdmissionSettings;
    readonly random: RandomSource;
  },
): Result<PoolPressure, Failure> {
  const { crest } = means.settings;
  const pressure = computePressure(request.loads);
  switch (crest.kind) {
    case "queue":
      return ok(pressure);
    case "refuse_early": {
      const { leftMs, programClass } = request;
      const isLate = leftMs !== undefined && pressure.drainMs > leftMs;
      const isFull = pressure.backlog > crest.mostBacklog[programClass];
      if (!isLate && !isFull) return ok(pressure);
      const retryMs = computeReturn(pressure, crest, means.random);
      const detail = isFull
        ? `${pressure.backlog.toFixed(2)} calls wait for each slot`
        : "the deadline would pass before a slot comes free";
      return err(createFailure("Overloaded", detail, retryMs));
    }
    default:
      return checkNever(crest);
  }
}

/** Spreads the return of refused callers over twice the time of the backlog. */
function computeReturn(
  pressure: PoolPressure,
  crest: Extract<CrestPolicy, { kind: "refuse_early" }>,
  random: RandomSource,
): number {
  const spread = random.takeBetween(1, 3);
  const retryMs = Math.max(crest.leastRetryMs, pressure.drainMs) * spread;
  return Math.round(Math.min(crest.mostRetryMs, retryMs));
}

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
  type Partner,
  type ProgramClass,
  type TargetLoad,
} from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import { RandomSource } from "../random/mod.ts";
import { ReturnSchedule } from "./return_schedule.ts";
import type {
  AdmissionSettings,
  CrestPolicy,
  PartnerWeights,
} from "./settings.ts";

/** A program that asks to begin. */
export interface AdmissionRequest {
  readonly partner: Partner;
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

/**
 * Computes how full a pool is for a partner: its own waiting calls over its
 * share of the slots, so that another partner's flood doesn't shut it out. Only
 * short calls go before a short one.
 */
export function computePressure(
  loads: readonly TargetLoad[],
  share: {
    readonly partner: Partner;
    readonly programClass: ProgramClass;
    readonly weights: PartnerWeights;
  },
): PoolPressure {
  const { partner, programClass, weights } = share;
  let slots = 0;
  let slotMs = 0;
  const queued = new Map<Partner, number>();
  for (const load of loads) {
    slots += load.limit;
    slotMs += (load.slotMs ?? USUAL_SLOT_MS) * load.limit;
    for (const each of load.queuedBy ?? []) {
      const before = queued.get(each.partner) ?? 0;
      const added = programClass === "short" ? each.short : each.queued;
      queued.set(each.partner, before + added);
    }
  }
  const own = queued.get(partner) ?? 0;
  if (slots === 0 || own === 0) return { backlog: 0, drainMs: 0 };
  let allWeights = 0;
  for (const each of queued.keys()) allWeights += weights[each];
  const ownSlots = slots * weights[partner] / allWeights;
  const backlog = own / ownSlots;
  return { backlog, drainMs: backlog * slotMs / slots };
}

/** The admission of one node. */
export class Admission {
  readonly #returns: ReturnSchedule;
  #settings: AdmissionSettings;

  constructor(settings: AdmissionSettings, seed: number) {
    this.#settings = settings;
    this.#returns = new ReturnSchedule(new RandomSource(seed));
  }

  /** Changes the policy. */
  setSettings(settings: AdmissionSettings): void {
    this.#settings = settings;
  }

  /** Checks whether a new program may begin. Fails with `Overloaded`. */
  check(request: AdmissionRequest, nowMs: number): Result<void, Failure> {
    const { crest } = this.#settings;
    switch (crest.kind) {
      case "queue":
        return ok(undefined);
      case "refuse_early":
        return this.#checkPressure(request, crest, nowMs);
      default:
        return checkNever(crest);
    }
  }

  #checkPressure(
    request: AdmissionRequest,
    crest: Extract<CrestPolicy, { kind: "refuse_early" }>,
    nowMs: number,
  ): Result<void, Failure> {
    const { leftMs, programClass, partner, loads } = request;
    const { weights } = crest;
    const pressure = computePressure(loads, {
      partner,
      programClass,
      weights,
    });
    const isLate = leftMs !== undefined && pressure.drainMs > leftMs;
    const isFull = pressure.backlog > crest.mostBacklog[programClass];
    if (!isLate && !isFull) {
      this.#returns.recordAdmitted(nowMs);
      return ok(undefined);
    }
    const retryMs = this.#returns.takeReturn(crest, nowMs);
    const detail = isFull
      ? `${pressure.backlog.toFixed(2)} calls wait for each slot`
      : "the deadline would pass before a slot comes free";
    return err(createFailure("Overloaded", detail, retryMs));
  }
}

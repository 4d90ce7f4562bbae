/**
 * Admits new programs, or refuses them while the pool of targets is overloaded.
 *
 * Programs that have begun are never refused here: finishing them frees the
 * pool, while admitting more delays all of them. A refusal states a time to
 * retry; these times are spread, so that refused callers don't return at once.
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
import { RetryAfterSchedule } from "./retry_after_schedule.ts";
import type {
  AdmissionSettings,
  OverloadPolicy,
  PartnerWeights,
} from "./settings.ts";

/** A request to begin a program. */
export interface AdmissionRequest {
  readonly partner: Partner;
  readonly programClass: ProgramClass;
  /** The last observed loads of the pool that its first call would run on. */
  readonly loads: readonly TargetLoad[];
  /** Time left until the program's deadline, if it has one. */
  readonly leftMs?: number;
}

/** The pressure on a pool. */
export interface PoolPressure {
  /** Waiting calls per slot. */
  readonly backlog: number;
  /** Expected time until the waiting calls have their slots. */
  readonly drainMs: number;
}

const DEFAULT_SLOT_MS = 4_000;

/**
 * Computes the pressure on a pool for one partner: its own waiting calls over its
 * share of the slots, so that another partner's burst doesn't lock it out. For a
 * short program only short calls count, since only they run before its calls.
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
    slotMs += (load.slotMs ?? DEFAULT_SLOT_MS) * load.limit;
    for (const each of load.queuedBy ?? []) {
      const before = queued.get(each.partner) ?? 0;
      const added = programClass === "short" ? each.short : each.queued;
      queued.set(each.partner, before + added);
    }
  }
  const ownQueued = queued.get(partner) ?? 0;
  if (slots === 0 || ownQueued === 0) return { backlog: 0, drainMs: 0 };
  let totalWeight = 0;
  for (const each of queued.keys()) totalWeight += weights[each];
  const ownSlots = slots * weights[partner] / totalWeight;
  const backlog = ownQueued / ownSlots;
  return { backlog, drainMs: backlog * slotMs / slots };
}

/** Decides on admission for one node. */
export class Admission {
  readonly #retryTimes: RetryAfterSchedule;
  #settings: AdmissionSettings;

  constructor(settings: AdmissionSettings, seed: number) {
    this.#settings = settings;
    this.#retryTimes = new RetryAfterSchedule(new RandomSource(seed));
  }

  /** Replaces the settings. */
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
        return this.#checkOverload(request, crest, nowMs);
      default:
        return checkNever(crest);
    }
  }

  #checkOverload(
    request: AdmissionRequest,
    crest: Extract<OverloadPolicy, { kind: "refuse_early" }>,
    nowMs: number,
  ): Result<void, Failure> {
    const { leftMs, programClass, partner, loads } = request;
    const { weights } = crest;
    const pressure = computePressure(loads, {
      partner,
      programClass,
      weights,
    });
    const wouldMissDeadline = leftMs !== undefined && pressure.drainMs > leftMs;
    const exceedsBacklog = pressure.backlog > crest.mostBacklog[programClass];
    if (!wouldMissDeadline && !exceedsBacklog) {
      this.#retryTimes.recordAdmitted(nowMs);
      return ok(undefined);
    }
    const retryAfterMs = this.#retryTimes.takeRetryAfterMs(crest, nowMs);
    const detail = exceedsBacklog
      ? `${pressure.backlog.toFixed(2)} calls waiting per slot`
      : `no slot expected within the ${leftMs} ms until the deadline`;
    return err(createFailure("Overloaded", detail, retryAfterMs));
  }
}

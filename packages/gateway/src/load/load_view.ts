/**
 * What this gateway was last told of the load that the others cause.
 */
import type { LoadSource, TargetLoad } from "../placement/target_load.ts";
import type { LoadAnswer, TargetSum } from "./load_messages.ts";

/** An older view isn't used. */
export const MAX_VIEW_AGE_MS = 1_000;

/** What the view needs to know of a target. */
export interface ViewedTarget {
  readonly service: string;
  readonly slots: number;
}

type ReportedLoad = Omit<TargetLoad, "typicalRunning" | "ageMs">;

const IDLE: ReportedLoad = {
  running: 0,
  remainingMs: 0,
  ownTokens: 0,
  cachedParts: new Map(),
  heldParts: new Set(),
  speeds: { samples: 0, taken: 0 },
};

/** The load of the other gateways. */
export class LoadView implements LoadSource {
  readonly #findTarget: (id: string) => ViewedTarget | undefined;
  #byTarget: ReadonlyMap<string, ReportedLoad> = new Map();
  /** Running requests by slot, of each service. */
  #occupancy: ReadonlyMap<string, number> = new Map();
  #madeAtMs = Number.NEGATIVE_INFINITY;

  constructor(findTarget: (id: string) => ViewedTarget | undefined) {
    this.#findTarget = findTarget;
  }

  /** Replaces the view by a collector's answer to a call of `sentAtMs`. */
  set({ targets, ageMs }: LoadAnswer, sentAtMs: number): void {
    this.#madeAtMs = sentAtMs - Math.max(0, ageMs);
    this.#byTarget = new Map(targets.map((sum) => [sum[0], buildLoad(sum)]));
    this.#occupancy = this.#computeOccupancy(targets);
  }

  computeAgeMs(nowMs: number): number {
    const ageMs = nowMs - this.#madeAtMs;
    return ageMs > MAX_VIEW_AGE_MS ? Number.POSITIVE_INFINITY : ageMs;
  }

  find(targetId: string, nowMs: number): TargetLoad | undefined {
    const ageMs = this.computeAgeMs(nowMs);
    const target = this.#findTarget(targetId);
    if (!Number.isFinite(ageMs) || target === undefined) return undefined;
    // Nobody reports a target that is idle.
    const load = this.#byTarget.get(targetId) ?? IDLE;
    const occupancy = this.#occupancy.get(target.service) ?? 0;
    return { ...load, ageMs, typicalRunning: occupancy * target.slots };
  }

  #computeOccupancy(targets: readonly TargetSum[]): Map<string, number> {
    const sums = new Map<string, { running: number; slots: number }>();
    for (const [id, running] of targets) {
      const target = this.#findTarget(id);
      if (target === undefined) continue;
      const sum = sums.get(target.service) ?? { running: 0, slots: 0 };
      sum.running += running;
      sum.slots += Math.max(1, target.slots);
      sums.set(target.service, sum);
    }
    return new Map(
      [...sums].map(([service, { running, slots }]) => [
        service,
        running / slots,
      ]),
    );
  }
}

function buildLoad(sum: TargetSum): ReportedLoad {
  const [, running, remainingMs, ownTokens, samples, taken, parts] = sum;
  const held = parts.filter((part) => part[2] === 1);
  return {
    running,
    remainingMs,
    ownTokens,
    cachedParts: new Map(parts.map(([part, tokens]) => [part, tokens])),
    heldParts: new Set(held.map(([part]) => part)),
    speeds: { samples: samples / 100, taken: taken / 100 },
  };
}

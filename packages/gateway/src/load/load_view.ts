/**
 * What this gateway was last told of the load that the others cause.
 */
import type { LoadSource, TargetLoad } from "../placement/target_load.ts";
import type { LoadAnswer } from "./load_messages.ts";

/** An older view isn't used. */
export const MAX_VIEW_AGE_MS = 1_000;

/** The load of the other gateways. */
export class LoadView implements LoadSource {
  #byTarget: ReadonlyMap<string, TargetLoad> = new Map();
  #madeAtMs = Number.NEGATIVE_INFINITY;

  /** Replaces the view by a collector's answer to a call of `sentAtMs`. */
  set({ targets, ageMs }: LoadAnswer, sentAtMs: number): void {
    this.#madeAtMs = sentAtMs - Math.max(0, ageMs);
    this.#byTarget = new Map(targets.map((sum) => {
      const [id, running, remainingMs, ownTokens] = sum;
      const [, , , , samples, taken, parts] = sum;
      const held = parts.filter((part) => part[2] === 1);
      return [id, {
        running,
        remainingMs,
        ownTokens,
        cachedParts: new Map(parts.map(([part, tokens]) => [part, tokens])),
        heldParts: new Set(held.map(([part]) => part)),
        speeds: { samples: samples / 100, taken: taken / 100 },
      }];
    }));
  }

  computeAgeMs(nowMs: number): number {
    const ageMs = nowMs - this.#madeAtMs;
    return ageMs > MAX_VIEW_AGE_MS ? Number.POSITIVE_INFINITY : ageMs;
  }

  find(targetId: string, nowMs: number): TargetLoad | undefined {
    if (!Number.isFinite(this.computeAgeMs(nowMs))) return undefined;
    // Nobody reports a target that is idle.
    return this.#byTarget.get(targetId) ?? IDLE;
  }
}

const IDLE: TargetLoad = {
  running: 0,
  remainingMs: 0,
  ownTokens: 0,
  cachedParts: new Map(),
  heldParts: new Set(),
  speeds: { samples: 0, taken: 0 },
};

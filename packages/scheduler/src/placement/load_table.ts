/**
 * The loads of targets as last heard, and what this node has placed since.
 */
import type { TargetId, TargetLoad } from "@camphorlock/types";

/** A load with its age and this node's own placements since then. */
export interface KnownLoad {
  load: TargetLoad;
  heardAtMs: number;
  placedSince: number;
  promptTokensSince: number;
  /** Speed relative to the peers, one being usual. */
  speed: number;
}

/** Share of own placements that a fresh load leaves, as they may be under way. */
const KEPT_SHARE = 0.25;

/** Loads by target. */
export class LoadTable {
  readonly #loads = new Map<TargetId, KnownLoad>();

  /** The number of targets with a load. */
  get size(): number {
    return this.#loads.size;
  }

  /** Finds the load of a target, whatever its age. */
  find(targetId: TargetId): KnownLoad | undefined {
    return this.#loads.get(targetId);
  }

  /** Records a load that was heard. */
  record(load: TargetLoad, nowMs: number): void {
    const known = this.#loads.get(load.targetId);
    if (known === undefined) {
      this.#loads.set(load.targetId, createKnown(load, nowMs));
      return;
    }
    known.load = load;
    known.heardAtMs = nowMs;
    known.placedSince *= KEPT_SHARE;
    known.promptTokensSince *= KEPT_SHARE;
  }

  /** Records that this node places a call on a target. */
  recordPlaced(targetId: TargetId, promptTokens: number): void {
    const known = this.#loads.get(targetId);
    if (known === undefined) return;
    known.placedSince += 1;
    known.promptTokensSince += promptTokens;
  }

  /** Lists every load. */
  list(): KnownLoad[] {
    return [...this.#loads.values()];
  }

  /** Removes a target that isn't configured any more. */
  remove(targetId: TargetId): void {
    this.#loads.delete(targetId);
  }
}

function createKnown(load: TargetLoad, nowMs: number): KnownLoad {
  return {
    load,
    heardAtMs: nowMs,
    placedSince: 0,
    promptTokensSince: 0,
    speed: 1,
  };
}

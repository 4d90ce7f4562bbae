/**
 * The last received loads of targets, and the calls placed since by this node.
 */
import type { TargetId, TargetLoad } from "@camphorlock/types";

/** A load, the time of its receipt, and this node's placements since then. */
export interface ObservedLoad {
  load: TargetLoad;
  receivedAtMs: number;
  callsPlacedSince: number;
  promptTokensPlacedSince: number;
  /** Speed relative to the median of the peers, which is 1. */
  speed: number;
}

/**
 * Share of this node's placements that still counts after a new load arrives,
 * since some calls may be in flight and not part of that load.
 */
const IN_FLIGHT_SHARE = 0.25;

/** Loads by target. */
export class LoadTable {
  readonly #loads = new Map<TargetId, ObservedLoad>();

  /** The number of targets with a load. */
  get size(): number {
    return this.#loads.size;
  }

  /** Finds the load of a target, regardless of its age. */
  find(targetId: TargetId): ObservedLoad | undefined {
    return this.#loads.get(targetId);
  }

  /** Records a received load. */
  record(load: TargetLoad, nowMs: number): void {
    const observed = this.#loads.get(load.targetId);
    if (observed === undefined) {
      this.#loads.set(load.targetId, createObserved(load, nowMs));
      return;
    }
    observed.load = load;
    observed.receivedAtMs = nowMs;
    observed.callsPlacedSince *= IN_FLIGHT_SHARE;
    observed.promptTokensPlacedSince *= IN_FLIGHT_SHARE;
  }

  /** Records that this node placed a call on a target. */
  recordPlaced(targetId: TargetId, promptTokens: number): void {
    const observed = this.#loads.get(targetId);
    if (observed === undefined) return;
    observed.callsPlacedSince += 1;
    observed.promptTokensPlacedSince += promptTokens;
  }

  /** Lists every load. */
  list(): ObservedLoad[] {
    return [...this.#loads.values()];
  }

  /** Removes a target that is no longer configured. */
  remove(targetId: TargetId): void {
    this.#loads.delete(targetId);
  }
}

function createObserved(load: TargetLoad, nowMs: number): ObservedLoad {
  return {
    load,
    receivedAtMs: nowMs,
    callsPlacedSince: 0,
    promptTokensPlacedSince: 0,
    speed: 1,
  };
}

/**
 * Queues membership updates, each for a bounded number of transmissions.
 */
import type { VmId } from "@camphorlock/types";

/** Counts the remaining transmissions of the latest update on each node. */
export class GossipQueue {
  readonly #transmitsLeft = new Map<VmId, number>();
  readonly #repeats: number;

  /** `repeats` is the number of transmissions per doubling of the fleet. */
  constructor(repeats: number) {
    this.#repeats = repeats;
  }

  /** Queues the latest update on a node, in place of an older one. */
  add(vmId: VmId, fleetSize: number): void {
    const doublings = Math.ceil(Math.log2(fleetSize + 1));
    this.#transmitsLeft.set(vmId, this.#repeats * doublings);
  }

  /** Takes the updates for one message, most remaining transmissions first. */
  take(limit: number): VmId[] {
    const waiting = [...this.#transmitsLeft];
    waiting.sort((left, right) => right[1] - left[1]);
    const chosen = waiting.slice(0, limit).map(([vmId]) => vmId);
    for (const vmId of chosen) this.#recordTransmit(vmId);
    return chosen;
  }

  #recordTransmit(vmId: VmId): void {
    const left = (this.#transmitsLeft.get(vmId) ?? 0) - 1;
    if (left > 0) this.#transmitsLeft.set(vmId, left);
    else this.#transmitsLeft.delete(vmId);
  }
}

/**
 * The rumours that this node still spreads, each a bounded number of times.
 */
import type { VmId } from "@camphorlock/types";

/** Counts the sends that each rumour has left. */
export class RumourQueue {
  readonly #sendsLeft = new Map<VmId, number>();
  readonly #repeats: number;

  /** `repeats` is the number of sends for each doubling of the fleet. */
  constructor(repeats: number) {
    this.#repeats = repeats;
  }

  /** Spreads what is now known of a node, in place of an older rumour. */
  add(vmId: VmId, fleetSize: number): void {
    const doublings = Math.ceil(Math.log2(fleetSize + 1));
    this.#sendsLeft.set(vmId, this.#repeats * doublings);
  }

  /** Takes the rumours for one message, those sent least often first. */
  take(limit: number): VmId[] {
    const waiting = [...this.#sendsLeft];
    waiting.sort((left, right) => right[1] - left[1]);
    const chosen = waiting.slice(0, limit).map(([vmId]) => vmId);
    for (const vmId of chosen) this.#recordSend(vmId);
    return chosen;
  }

  #recordSend(vmId: VmId): void {
    const left = (this.#sendsLeft.get(vmId) ?? 0) - 1;
    if (left > 0) this.#sendsLeft.set(vmId, left);
    else this.#sendsLeft.delete(vmId);
  }
}

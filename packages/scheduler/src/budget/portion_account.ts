/**
 * The amounts in one node's portion of a shared budget.
 */
import type { Micros } from "@camphorlock/types";

/** What a portion holds, has reserved and has spent. */
export class PortionAccount {
  /** Drawn and not returned. */
  heldMicros: Micros = 0;
  /** Being returned to the object, and no longer available. */
  returningMicros: Micros = 0;
  #spentMicros: Micros = 0;
  #reservedMicros: Micros = 0;

  /** The amount that can be reserved without a draw. */
  get availableMicros(): Micros {
    return this.heldMicros - this.#spentMicros - this.#reservedMicros -
      this.returningMicros;
  }

  /** Reserves an amount; `false` when less is available. */
  reserve(micros: Micros): boolean {
    if (micros > this.availableMicros) return false;
    this.#reservedMicros += micros;
    return true;
  }

  /** Settles a reservation, and returns the part that wasn't charged. */
  settle(reservedMicros: Micros, chargedMicros: Micros): Micros {
    const charged = Math.max(0, Math.min(chargedMicros, reservedMicros));
    this.#reservedMicros -= reservedMicros;
    this.#spentMicros += charged;
    return reservedMicros - charged;
  }
}

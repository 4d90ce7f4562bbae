/**
 * The money in one node's portion of a shared budget.
 */
import type { Micros } from "@camphorlock/types";

/** What a portion holds, has reserved and has spent. */
export class PortionAccount {
  /** Drawn and not returned. */
  heldMicros: Micros = 0;
  /** On its way back to the object and not to be spent. */
  returningMicros: Micros = 0;
  #spentMicros: Micros = 0;
  #reservedMicros: Micros = 0;

  /** What can be reserved at once. */
  get restMicros(): Micros {
    return this.heldMicros - this.#spentMicros - this.#reservedMicros -
      this.returningMicros;
  }

  /** Reserves an amount; `false` where the rest is less. */
  reserve(micros: Micros): boolean {
    if (micros > this.restMicros) return false;
    this.#reservedMicros += micros;
    return true;
  }

  /** Settles a reservation, and gives what of it wasn't charged. */
  settle(reservedMicros: Micros, chargedMicros: Micros): Micros {
    const charged = Math.max(0, Math.min(chargedMicros, reservedMicros));
    this.#reservedMicros -= reservedMicros;
    this.#spentMicros += charged;
    return reservedMicros - charged;
  }
}

/**
 * Decides when the next heartbeats are due, and to whom.
 */
import type { VmId } from "@camphorlock/types";
import type { ContactBook } from "./contact_book.ts";
import { ContactOrder } from "./contacts.ts";
import type { RandomChooser } from "./random.ts";
import type { MembershipSettings } from "./settings.ts";

/** The pace of one node's heartbeats, spread evenly over the period. */
export class HeartbeatPacer {
  readonly #settings: MembershipSettings;
  readonly #contacts: ContactBook;
  readonly #random: RandomChooser;
  readonly #order: ContactOrder;
  #credit = 1;
  #lastLostMs = 0;

  constructor(
    settings: MembershipSettings,
    parts: { contacts: ContactBook; random: RandomChooser },
  ) {
    this.#settings = settings;
    this.#contacts = parts.contacts;
    this.#random = parts.random;
    this.#order = new ContactOrder(parts.random);
  }

  /** Takes the nodes whose turn came in the time since the last call. */
  takeDue(elapsedMs: number): VmId[] {
    const perPeriod = this.#countPerPeriod();
    const earned = elapsedMs * perPeriod / this.#settings.heartbeatPeriodMs;
    this.#credit = Math.min(this.#credit + earned, perPeriod);
    const count = Math.floor(this.#credit);
    this.#credit -= count;
    return this.#takeNext(count);
  }

  /** Takes the nodes of a whole period at once, for urgent news. */
  takeBurst(): VmId[] {
    return this.#takeNext(this.#countPerPeriod());
  }

  /** Takes one of the dead nodes now and then, so that it's found again. */
  takeLost(nowMs: number): VmId[] {
    const sinceMs = nowMs - this.#lastLostMs;
    if (sinceMs < this.#settings.deadContactPeriodMs) return [];
    this.#lastLostMs = nowMs;
    return this.#random.chooseSome(this.#contacts.listLost(), 1);
  }

  #countPerPeriod(): number {
    const { size } = this.#contacts.getReachable();
    return this.#isSmall() ? size : this.#settings.fanout;
  }

  #isSmall(): boolean {
    const { size } = this.#contacts.getReachable();
    return size <= this.#settings.fullMeshLimit;
  }

  #takeNext(count: number): VmId[] {
    const contacts = this.#contacts.getReachable();
    const covers = this.#isSmall() ? "rounds" : "rounds_and_domains";
    const taken: VmId[] = [];
    for (let index = 0; index < count; index += 1) {
      const next = this.#order.takeNext(contacts, covers);
      if (next !== undefined) taken.push(next);
    }
    return taken;
  }
}

/**
 * Decides when heartbeats are due, and which nodes receive them.
 */
import type { VmId } from "@camphorlock/types";
import { ContactOrder } from "./contact_order.ts";
import type { ContactTable } from "./contact_table.ts";
import type { RandomChooser } from "./random.ts";
import type { MembershipSettings } from "./settings.ts";

/** Spreads the heartbeats of one node evenly over the period. */
export class HeartbeatPacer {
  readonly #settings: MembershipSettings;
  readonly #contacts: ContactTable;
  readonly #random: RandomChooser;
  readonly #order: ContactOrder;
  #credit = 1;
  #lastDeadContactMs = 0;

  constructor(
    settings: MembershipSettings,
    dependencies: { contacts: ContactTable; random: RandomChooser },
  ) {
    this.#settings = settings;
    this.#contacts = dependencies.contacts;
    this.#random = dependencies.random;
    this.#order = new ContactOrder(dependencies.random);
  }

  /** Takes the nodes to contact for the time elapsed since the last call. */
  takeDue(elapsedMs: number): VmId[] {
    const perPeriod = this.#countPerPeriod();
    const earned = elapsedMs * perPeriod / this.#settings.heartbeatPeriodMs;
    this.#credit = Math.min(this.#credit + earned, perPeriod);
    const count = Math.floor(this.#credit);
    this.#credit -= count;
    return this.#takeNext(count);
  }

  /** Takes the nodes of a full period at once, for an urgent update. */
  takeBurst(): VmId[] {
    return this.#takeNext(this.#countPerPeriod());
  }

  /** Takes a random dead node once a period, to detect nodes that return. */
  takeDead(nowMs: number): VmId[] {
    const sinceMs = nowMs - this.#lastDeadContactMs;
    if (sinceMs < this.#settings.deadContactPeriodMs) return [];
    this.#lastDeadContactMs = nowMs;
    return this.#random.chooseSome(this.#contacts.listDead(), 1);
  }

  #countPerPeriod(): number {
    const { size } = this.#contacts.getReachable();
    return this.#isFullMesh() ? size : this.#settings.fanout;
  }

  #isFullMesh(): boolean {
    const { size } = this.#contacts.getReachable();
    return size <= this.#settings.fullMeshLimit;
  }

  #takeNext(count: number): VmId[] {
    const contacts = this.#contacts.getReachable();
    const coverage = this.#isFullMesh() ? "rounds" : "rounds_and_domains";
    const taken: VmId[] = [];
    for (let index = 0; index < count; index += 1) {
      const next = this.#order.takeNext(contacts, coverage);
      if (next !== undefined) taken.push(next);
    }
    return taken;
  }
}

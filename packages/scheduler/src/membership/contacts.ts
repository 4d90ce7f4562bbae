/**
 * Chooses whom to send the next heartbeat to.
 *
 * Nodes are visited round by round, each round in a fresh random order. In a
 * large fleet every other contact goes to the failure domain that waited
 * longest, so that a domain with few nodes is covered as often as the others.
 */
import type { FailureDomain, VmId } from "@camphorlock/types";
import type { RandomChooser } from "./random.ts";

/** A node that can be contacted. */
export interface Contact {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  /** Whether anything was ever heard of it, beside the platform's list. */
  readonly isHeard: boolean;
}

/** The order in which nodes are contacted. */
export class ContactOrder {
  readonly #random: RandomChooser;
  #round: VmId[] = [];
  #domains: FailureDomain[] = [];
  #domainTurn = false;

  constructor(random: RandomChooser) {
    this.#random = random;
  }

  /** Takes the next node to contact, `undefined` when there is none. */
  takeNext(
    contacts: ReadonlyMap<VmId, Contact>,
    covers: "rounds" | "rounds_and_domains",
  ): VmId | undefined {
    this.#domainTurn = covers === "rounds_and_domains" && !this.#domainTurn;
    if (this.#domainTurn) return this.#takeOfDomain(contacts);
    return this.#takeOfRound(contacts);
  }

  #takeOfRound(contacts: ReadonlyMap<VmId, Contact>): VmId | undefined {
    if (contacts.size === 0) return undefined;
    while (true) {
      const next = this.#round.pop();
      if (next === undefined) this.#startRound(contacts);
      else if (contacts.has(next)) return next;
    }
  }

  #startRound(contacts: ReadonlyMap<VmId, Contact>): void {
    this.#round = this.#random.chooseSome([...contacts.keys()], contacts.size);
  }

  #takeOfDomain(contacts: ReadonlyMap<VmId, Contact>): VmId | undefined {
    if (this.#domains.length === 0) this.#startDomains(contacts);
    const domain = this.#domains.pop();
    const members = [...contacts.values()]
      .filter((contact) => contact.failureDomain === domain);
    const [chosen] = this.#random.chooseSome(members, 1);
    return chosen?.vmId ?? this.#takeOfRound(contacts);
  }

  #startDomains(contacts: ReadonlyMap<VmId, Contact>): void {
    const domains = new Set<FailureDomain>();
    for (const contact of contacts.values()) domains.add(contact.failureDomain);
    this.#domains = this.#random.chooseSome([...domains], domains.size);
  }
}

/**
 * Chooses the node that receives the next heartbeat.
 *
 * Nodes are contacted in rounds, each round in a new random order. In a large
 * fleet every second contact goes to a random node of the next failure domain,
 * and each round of the domains has a random order too. So a domain with few
 * nodes is contacted as often as the others.
 */
import type { FailureDomain, VmId } from "@camphorlock/types";
import type { RandomChooser } from "./random.ts";

/** A node that can receive heartbeats. */
export interface Contact {
  readonly vmId: VmId;
  readonly failureDomain: FailureDomain;
  /** Whether the node table contains the node; if not, it's only listed. */
  readonly isDiscovered: boolean;
}

/** The order in which heartbeats are sent to nodes. */
export class ContactOrder {
  readonly #random: RandomChooser;
  #round: VmId[] = [];
  #domains: FailureDomain[] = [];
  #isDomainTurn = false;

  constructor(random: RandomChooser) {
    this.#random = random;
  }

  /** Takes the next node to contact, or `undefined` when there is none. */
  takeNext(
    contacts: ReadonlyMap<VmId, Contact>,
    coverage: "rounds" | "rounds_and_domains",
  ): VmId | undefined {
    this.#isDomainTurn = coverage === "rounds_and_domains" &&
      !this.#isDomainTurn;
    if (this.#isDomainTurn) return this.#takeFromDomain(contacts);
    return this.#takeFromRound(contacts);
  }

  #takeFromRound(contacts: ReadonlyMap<VmId, Contact>): VmId | undefined {
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

  #takeFromDomain(contacts: ReadonlyMap<VmId, Contact>): VmId | undefined {
    if (this.#domains.length === 0) this.#startDomains(contacts);
    const domain = this.#domains.pop();
    const members = [...contacts.values()]
      .filter((contact) => contact.failureDomain === domain);
    const [chosen] = this.#random.chooseSome(members, 1);
    return chosen?.vmId ?? this.#takeFromRound(contacts);
  }

  #startDomains(contacts: ReadonlyMap<VmId, Contact>): void {
    const domains = new Set<FailureDomain>();
    for (const contact of contacts.values()) domains.add(contact.failureDomain);
    this.#domains = this.#random.chooseSome([...domains], domains.size);
  }
}

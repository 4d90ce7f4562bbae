/**
 * Whom this node can contact: the nodes in its table and the VMs that the
 * platform lists and of which nothing was heard yet.
 */
import type { NodeDigest, VmId, VmListing } from "@camphorlock/types";
import type { Contact } from "./contacts.ts";

/** The contacts of one node. */
export class ContactBook {
  readonly #self: VmId;
  readonly #reachable = new Map<VmId, Contact>();
  readonly #lost = new Set<VmId>();
  #listed = new Map<VmId, VmListing>();

  constructor(self: VmId) {
    this.#self = self;
  }

  /** Takes the platform's list; it never removes a node that answers. */
  setListed(vms: readonly VmListing[]): void {
    for (const vmId of this.#listed.keys()) this.#removeUnheard(vmId);
    this.#listed = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const vm of vms) this.#addUnheard(vm);
  }

  /** Takes the state of a known node. */
  update(digest: NodeDigest): void {
    const { vmId, failureDomain } = digest.spec;
    if (digest.state === "dead") {
      this.#reachable.delete(vmId);
      this.#lost.add(vmId);
      return;
    }
    this.#lost.delete(vmId);
    const isHeard = true;
    this.#reachable.set(vmId, { vmId, failureDomain, isHeard });
  }

  /** Forgets a node; one that the platform still lists stays a contact. */
  remove(vmId: VmId): void {
    this.#reachable.delete(vmId);
    this.#lost.delete(vmId);
    const listing = this.#listed.get(vmId);
    if (listing !== undefined) this.#addUnheard(listing);
  }

  /** Gets the nodes that aren't dead, and the listed VMs not yet heard of. */
  getReachable(): ReadonlyMap<VmId, Contact> {
    return this.#reachable;
  }

  /** Lists the known nodes that aren't dead. */
  listLiving(): VmId[] {
    const contacts = [...this.#reachable.values()];
    return contacts.filter((each) => each.isHeard).map((each) => each.vmId);
  }

  /** Lists the known nodes that are dead. */
  listLost(): VmId[] {
    return [...this.#lost];
  }

  /** Finds the address that the platform's list gives. */
  findAddress(vmId: VmId): string | undefined {
    return this.#listed.get(vmId)?.peerAddress;
  }

  #addUnheard(vm: VmListing): void {
    const { vmId, failureDomain } = vm;
    if (vmId === this.#self) return;
    if (this.#reachable.has(vmId) || this.#lost.has(vmId)) return;
    this.#reachable.set(vmId, { vmId, failureDomain, isHeard: false });
  }

  #removeUnheard(vmId: VmId): void {
    if (this.#reachable.get(vmId)?.isHeard === false) {
      this.#reachable.delete(vmId);
    }
  }
}

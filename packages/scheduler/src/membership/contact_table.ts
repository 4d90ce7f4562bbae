/**
 * The nodes that this node can contact: those in its node table, and the VMs
 * that the platform lists but that haven't been discovered yet.
 */
import type { NodeDigest, VmId, VmListing } from "@camphorlock/types";
import type { Contact } from "./contact_order.ts";

/** The contacts of one node. */
export class ContactTable {
  readonly #self: VmId;
  readonly #reachable = new Map<VmId, Contact>();
  readonly #dead = new Set<VmId>();
  #listed = new Map<VmId, VmListing>();

  constructor(self: VmId) {
    this.#self = self;
  }

  /** Replaces the platform's list. It may omit discovered nodes, which stay. */
  setListed(vms: readonly VmListing[]): void {
    for (const vmId of this.#listed.keys()) this.#removeUndiscovered(vmId);
    this.#listed = new Map(vms.map((vm) => [vm.vmId, vm]));
    for (const vm of vms) this.#addUndiscovered(vm);
  }

  /** Updates the state of a discovered node. */
  update(digest: NodeDigest): void {
    const { vmId, failureDomain } = digest.spec;
    if (digest.state === "dead") {
      this.#reachable.delete(vmId);
      this.#dead.add(vmId);
      return;
    }
    this.#dead.delete(vmId);
    const isDiscovered = true;
    this.#reachable.set(vmId, { vmId, failureDomain, isDiscovered });
  }

  /** Removes a node. One that the platform still lists stays a contact. */
  remove(vmId: VmId): void {
    this.#reachable.delete(vmId);
    this.#dead.delete(vmId);
    const listing = this.#listed.get(vmId);
    if (listing !== undefined) this.#addUndiscovered(listing);
  }

  /** Gets the nodes that aren't dead and the undiscovered listed VMs. */
  getReachable(): ReadonlyMap<VmId, Contact> {
    return this.#reachable;
  }

  /** Lists the discovered nodes that aren't dead. */
  listLiving(): VmId[] {
    const contacts = [...this.#reachable.values()];
    return contacts.filter((each) => each.isDiscovered).map((each) =>
      each.vmId
    );
  }

  /** Lists the discovered nodes that are dead. */
  listDead(): VmId[] {
    return [...this.#dead];
  }

  /** Finds the address of a VM in the platform's list. */
  findAddress(vmId: VmId): string | undefined {
    return this.#listed.get(vmId)?.peerAddress;
  }

  #addUndiscovered(vm: VmListing): void {
    const { vmId, failureDomain } = vm;
    if (vmId === this.#self) return;
    if (this.#reachable.has(vmId) || this.#dead.has(vmId)) return;
    this.#reachable.set(vmId, { vmId, failureDomain, isDiscovered: false });
  }

  #removeUndiscovered(vmId: VmId): void {
    if (this.#reachable.get(vmId)?.isDiscovered === false) {
      this.#reachable.delete(vmId);
    }
  }
}

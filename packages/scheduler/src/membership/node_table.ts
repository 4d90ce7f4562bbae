/**
 * The nodes known to this one, and the order between rumours about a node.
 *
 * A higher incarnation wins, then a higher number of the node's own statement,
 * then the worse state. So only the node itself can refute a suspicion.
 */
import type {
  MembershipView,
  NodeDigest,
  NodeState,
  NodeView,
  Revision,
  VmId,
} from "@camphorlock/types";
import {
  computeProcessHash,
  countRevisions,
  type RevisionCensus,
} from "./revision_report.ts";

/** What is known of another node. */
export interface NodeRecord {
  digest: NodeDigest;
  /** When a message of the node itself last arrived; negative before that. */
  heardAtMs: number;
  /** When this node last sent it a heartbeat; negative before that. */
  contactedAtMs: number;
  /** When its present state was learnt. */
  changedAtMs: number;
}

/** A change of state that the table took from a rumour. */
export interface NodeChange {
  readonly vmId: VmId;
  readonly incarnation: number;
  /** `undefined` for a node that wasn't known under this incarnation. */
  readonly from: NodeState | undefined;
  readonly to: NodeState;
}

const STATE_RANKS: Record<NodeState, number> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

const NEVER_MS = -1;

/** Whether a rumour is newer than what is known of the same node. */
export function isNewer(rumour: NodeDigest, known: NodeDigest): boolean {
  if (rumour.spec.incarnation !== known.spec.incarnation) {
    return rumour.spec.incarnation > known.spec.incarnation;
  }
  if (rumour.number !== known.number) return rumour.number > known.number;
  return STATE_RANKS[rumour.state] > STATE_RANKS[known.state];
}

/** The other nodes, by VM. */
export class NodeTable {
  readonly #records = new Map<VmId, NodeRecord>();
  readonly #byHash = new Map<number, VmId>();
  readonly #listedLeaving = new Set<VmId>();
  #view: MembershipView | undefined;
  #census: { self: NodeDigest; census: RevisionCensus } | undefined;

  /** Takes a rumour in; returns the change if it was news. */
  apply(rumour: NodeDigest, nowMs: number): NodeChange | undefined {
    const record = this.#records.get(rumour.spec.vmId);
    if (record === undefined) return this.#addNode(rumour, nowMs);
    if (!isNewer(rumour, record.digest)) {
      this.#updateRevision(record, rumour);
      return undefined;
    }
    const known = record.digest;
    const sameProcess = known.spec.incarnation === rumour.spec.incarnation;
    const revision = sameProcess
      ? Math.max(known.revision, rumour.revision)
      : rumour.revision;
    if (!sameProcess) this.#setHash(known, rumour);
    record.digest = { ...rumour, revision };
    record.changedAtMs = nowMs;
    this.#removeCached();
    const from = sameProcess ? known.state : undefined;
    if (from === rumour.state) return undefined;
    return this.#buildChange(rumour, from);
  }

  /** Notes that a message of the node itself arrived. */
  recordHeard(vmId: VmId, nowMs: number): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) record.heardAtMs = nowMs;
  }

  /** Notes that this node sent it a heartbeat. */
  recordContact(vmId: VmId, nowMs: number): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) record.contactedAtMs = nowMs;
  }

  /** Notes the VMs that the platform says are leaving. */
  setListedLeaving(vmIds: Iterable<VmId>): void {
    this.#listedLeaving.clear();
    for (const vmId of vmIds) this.#listedLeaving.add(vmId);
    this.#removeCached();
  }

  /** Drops a node that is dead for long. */
  remove(vmId: VmId): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) {
      this.#byHash.delete(computeProcessHash(record.digest));
    }
    this.#records.delete(vmId);
    this.#removeCached();
  }

  /** Finds what is known of a node. */
  find(vmId: VmId): NodeRecord | undefined {
    return this.#records.get(vmId);
  }

  /** Lists every other node. */
  list(): IterableIterator<NodeRecord> {
    return this.#records.values();
  }

  /** Counts the other nodes, dead ones included. */
  count(): number {
    return this.#records.size;
  }

  /** Counts the other nodes that aren't dead. */
  countLiving(): number {
    let living = 0;
    for (const { digest } of this.#records.values()) {
      if (digest.state !== "dead") living += 1;
    }
    return living;
  }

  /** Counts what the processes have in force, this node's included. */
  countRevisions(self: NodeDigest): RevisionCensus {
    if (this.#census?.self === self) return this.#census.census;
    const others = [...this.#records.values()].map((record) => record.digest);
    const census = countRevisions([self, ...others]);
    this.#census = { self, census };
    return census;
  }

  /** Raises the revision of the processes that a report names. */
  applyReport(revision: Revision, hashes: readonly number[]): void {
    for (const hash of hashes) {
      const vmId = this.#byHash.get(hash);
      const record = vmId === undefined ? undefined : this.find(vmId);
      if (record === undefined) continue;
      if (computeProcessHash(record.digest) !== hash) continue;
      this.#updateRevision(record, { ...record.digest, revision });
    }
  }

  /** Gets the view, with this node first. */
  getView(self: NodeDigest): MembershipView {
    const cached = this.#view;
    if (cached !== undefined && isSameView(cached.nodes[0], self)) {
      return cached;
    }
    const nodes = [buildNodeView(self, this.#listedLeaving)];
    for (const record of this.#records.values()) {
      nodes.push(buildNodeView(record.digest, this.#listedLeaving));
    }
    this.#view = { self: self.spec.vmId, nodes };
    return this.#view;
  }

  #removeCached(): void {
    this.#view = undefined;
    this.#census = undefined;
  }

  #addNode(rumour: NodeDigest, nowMs: number): NodeChange | undefined {
    if (rumour.state === "dead") return undefined;
    this.#setHash(undefined, rumour);
    this.#records.set(rumour.spec.vmId, {
      digest: rumour,
      heardAtMs: NEVER_MS,
      contactedAtMs: NEVER_MS,
      changedAtMs: nowMs,
    });
    this.#removeCached();
    return this.#buildChange(rumour, undefined);
  }

  #setHash(former: NodeDigest | undefined, next: NodeDigest): void {
    if (former !== undefined) this.#byHash.delete(computeProcessHash(former));
    this.#byHash.set(computeProcessHash(next), next.spec.vmId);
  }

  #updateRevision(record: NodeRecord, rumour: NodeDigest): void {
    if (record.digest.spec.incarnation !== rumour.spec.incarnation) return;
    if (rumour.revision <= record.digest.revision) return;
    record.digest = { ...record.digest, revision: rumour.revision };
    this.#removeCached();
  }

  #buildChange(rumour: NodeDigest, from: NodeState | undefined): NodeChange {
    const { vmId, incarnation } = rumour.spec;
    return { vmId, incarnation, from, to: rumour.state };
  }
}

function isSameView(view: NodeView | undefined, self: NodeDigest): boolean {
  return view !== undefined && view.spec === self.spec &&
    view.state === self.state && view.revision === self.revision;
}

function buildNodeView(
  digest: NodeDigest,
  listedLeaving: ReadonlySet<VmId>,
): NodeView {
  const { spec, revision } = digest;
  const leaves = digest.state === "alive" && listedLeaving.has(spec.vmId);
  return { spec, revision, state: leaves ? "leaving" : digest.state };
}

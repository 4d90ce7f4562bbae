/**
 * The other nodes known to this one, and the precedence of updates to a node.
 *
 * The higher incarnation wins, then the higher number of the node's own
 * statement, then the worse state. So only the node itself can refute a
 * suspicion.
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
  computeRevisionSummary,
  type RevisionSummary,
} from "./revision_report.ts";

/** The state of another node. */
export interface NodeRecord {
  digest: NodeDigest;
  /** When the node's own last message arrived; negative before the first. */
  lastReceivedAtMs: number;
  /** When this node last sent a heartbeat to it; negative before the first. */
  lastContactedAtMs: number;
  /** When the last newer update was applied. */
  changedAtMs: number;
}

/** A state change that an update caused. */
export interface NodeChange {
  readonly vmId: VmId;
  readonly incarnation: number;
  /** `undefined` if the node wasn't known under this incarnation. */
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

/** Whether an update takes precedence over the known digest of the node. */
export function isNewer(update: NodeDigest, known: NodeDigest): boolean {
  if (update.spec.incarnation !== known.spec.incarnation) {
    return update.spec.incarnation > known.spec.incarnation;
  }
  if (update.number !== known.number) return update.number > known.number;
  return STATE_RANKS[update.state] > STATE_RANKS[known.state];
}

/** The other nodes, by VM. */
export class NodeTable {
  readonly #records = new Map<VmId, NodeRecord>();
  readonly #byHash = new Map<number, VmId>();
  readonly #listedLeaving = new Set<VmId>();
  #view: MembershipView | undefined;
  #summary: { self: NodeDigest; summary: RevisionSummary } | undefined;

  /** Applies an update, and returns the change of state if there is one. */
  apply(update: NodeDigest, nowMs: number): NodeChange | undefined {
    const record = this.#records.get(update.spec.vmId);
    if (record === undefined) return this.#addNode(update, nowMs);
    if (!isNewer(update, record.digest)) {
      this.#updateRevision(record, update);
      return undefined;
    }
    const known = record.digest;
    const sameProcess = known.spec.incarnation === update.spec.incarnation;
    const revision = sameProcess
      ? Math.max(known.revision, update.revision)
      : update.revision;
    if (!sameProcess) this.#setHash(known, update);
    record.digest = { ...update, revision };
    record.changedAtMs = nowMs;
    this.#resetCache();
    const from = sameProcess ? known.state : undefined;
    if (from === update.state) return undefined;
    return this.#buildChange(update, from);
  }

  /** Records that a message of the node itself arrived. */
  recordReceived(vmId: VmId, nowMs: number): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) record.lastReceivedAtMs = nowMs;
  }

  /** Records that this node sent a heartbeat to another. */
  recordContact(vmId: VmId, nowMs: number): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) record.lastContactedAtMs = nowMs;
  }

  /** Sets the VMs that the platform lists as leaving. */
  setListedLeaving(vmIds: Iterable<VmId>): void {
    this.#listedLeaving.clear();
    for (const vmId of vmIds) this.#listedLeaving.add(vmId);
    this.#resetCache();
  }

  /** Removes a dead node after its retention period. */
  remove(vmId: VmId): void {
    const record = this.#records.get(vmId);
    if (record !== undefined) {
      this.#byHash.delete(computeProcessHash(record.digest));
    }
    this.#records.delete(vmId);
    this.#resetCache();
  }

  /** Finds the record of a node. */
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

  /** Gets the revisions of all known processes, this one included. */
  getRevisionSummary(self: NodeDigest): RevisionSummary {
    if (this.#summary?.self === self) return this.#summary.summary;
    const others = [...this.#records.values()].map((record) => record.digest);
    const summary = computeRevisionSummary([self, ...others]);
    this.#summary = { self, summary };
    return summary;
  }

  /** Raises the revision of the processes that a report contains. */
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

  #resetCache(): void {
    this.#view = undefined;
    this.#summary = undefined;
  }

  #addNode(update: NodeDigest, nowMs: number): NodeChange | undefined {
    if (update.state === "dead") return undefined;
    this.#setHash(undefined, update);
    this.#records.set(update.spec.vmId, {
      digest: update,
      lastReceivedAtMs: NEVER_MS,
      lastContactedAtMs: NEVER_MS,
      changedAtMs: nowMs,
    });
    this.#resetCache();
    return this.#buildChange(update, undefined);
  }

  #setHash(prior: NodeDigest | undefined, next: NodeDigest): void {
    if (prior !== undefined) this.#byHash.delete(computeProcessHash(prior));
    this.#byHash.set(computeProcessHash(next), next.spec.vmId);
  }

  #updateRevision(record: NodeRecord, update: NodeDigest): void {
    if (record.digest.spec.incarnation !== update.spec.incarnation) return;
    if (update.revision <= record.digest.revision) return;
    record.digest = { ...record.digest, revision: update.revision };
    this.#resetCache();
  }

  #buildChange(update: NodeDigest, from: NodeState | undefined): NodeChange {
    const { vmId, incarnation } = update.spec;
    return { vmId, incarnation, from, to: update.state };
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

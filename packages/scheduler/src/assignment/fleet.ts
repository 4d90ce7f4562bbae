/**
 * The membership view as shard assignment uses it: which nodes may own shards,
 * and which have ended.
 */
import type {
  MembershipView,
  NodeView,
  ShardAssignment,
  VmId,
} from "@camphorlock/types";

/** The status of an owner or replica; a suspected node is still present. */
export type NodeStatus = "present" | "leaving" | "ended" | "unknown";

/** A membership view, indexed by VM. */
export class Fleet {
  readonly #view: MembershipView;
  readonly #nodes: ReadonlyMap<VmId, NodeView>;
  /** Nodes that may receive shards. */
  readonly candidates: readonly NodeView[];
  /** The VMs of the candidates, sorted. */
  readonly candidateIds: readonly VmId[];

  constructor(view: MembershipView) {
    this.#view = view;
    this.#nodes = new Map(view.nodes.map((node) => [node.spec.vmId, node]));
    this.candidates = view.nodes.filter((node) => node.state === "alive");
    this.candidateIds = this.candidates.map((node) => node.spec.vmId).sort();
  }

  /** Whether a view differs in nodes, incarnations or states, not revisions. */
  isChangedBy(view: MembershipView): boolean {
    if (view === this.#view) return false;
    if (view.nodes.length !== this.#nodes.size) return true;
    return view.nodes.some((node) => {
      const current = this.#nodes.get(node.spec.vmId);
      return current?.state !== node.state ||
        current.spec.incarnation !== node.spec.incarnation;
    });
  }

  find(vmId: VmId): NodeView | undefined {
    return this.#nodes.get(vmId);
  }

  /** Gets the status of the process that owns a shard. */
  getOwnerStatus(assignment: ShardAssignment): NodeStatus {
    const node = this.#nodes.get(assignment.owner);
    if (node === undefined) return "unknown";
    const { incarnation } = node.spec;
    if (incarnation > assignment.ownerIncarnation) return "ended";
    if (incarnation < assignment.ownerIncarnation) return "unknown";
    return getNodeStatus(node);
  }

  /** Gets the status of a replica, whatever incarnation runs on its VM. */
  getReplicaStatus(vmId: VmId): NodeStatus {
    const node = this.#nodes.get(vmId);
    return node === undefined ? "unknown" : getNodeStatus(node);
  }
}

function getNodeStatus(node: NodeView): NodeStatus {
  if (node.state === "dead") return "ended";
  return node.state === "leaving" ? "leaving" : "present";
}

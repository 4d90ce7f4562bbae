/**
 * The fleet as assignment sees it: who may own shards, who is gone.
 */
import type {
  MembershipView,
  NodeView,
  ShardAssignment,
  VmId,
} from "@camphorlock/types";

/** How an owner or keeper is rated. */
export type Standing = "present" | "leaving" | "gone" | "unknown";

/** A membership view, indexed. */
export class Fleet {
  readonly #nodes: ReadonlyMap<VmId, NodeView>;
  /** Nodes that may be given shards. */
  readonly candidates: readonly NodeView[];
  /** Their VMs, in a fixed order. */
  readonly candidateIds: readonly VmId[];

  constructor(view: MembershipView) {
    this.#nodes = new Map(view.nodes.map((node) => [node.spec.vmId, node]));
    this.candidates = view.nodes.filter((node) => node.state === "alive");
    this.candidateIds = this.candidates.map((node) => node.spec.vmId).sort();
  }

  /** Finds a node. */
  find(vmId: VmId): NodeView | undefined {
    return this.#nodes.get(vmId);
  }

  /** Rates the process that owns a shard. */
  getOwnerStanding(assignment: ShardAssignment): Standing {
    const node = this.#nodes.get(assignment.owner);
    if (node === undefined) return "unknown";
    const { incarnation } = node.spec;
    if (incarnation > assignment.ownerIncarnation) return "gone";
    if (incarnation < assignment.ownerIncarnation) return "unknown";
    return rateState(node);
  }

  /** Rates a keeper, whichever process runs on its VM. */
  getKeeperStanding(vmId: VmId): Standing {
    const node = this.#nodes.get(vmId);
    return node === undefined ? "unknown" : rateState(node);
  }
}

function rateState(node: NodeView): Standing {
  if (node.state === "dead") return "gone";
  return node.state === "leaving" ? "leaving" : "present";
}

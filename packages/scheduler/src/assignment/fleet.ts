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
  readonly #view: MembershipView;
  readonly #nodes: ReadonlyMap<VmId, NodeView>;
  /** Nodes that may be given shards. */
  readonly candidates: readonly NodeView[];
  /** Their VMs, in a fixed order. */
  readonly candidateIds: readonly VmId[];

  constructor(view: MembershipView) {
    this.#view = view;
    this.#nodes = new Map(view.nodes.map((node) => [node.spec.vmId, node]));
    this.candidates = view.nodes.filter((node) => node.state === "alive");
    this.candidateIds = this.candidates.map((node) => node.spec.vmId).sort();
  }

  /** Whether a view differs in a process or a state; revisions don't count. */
  isChangedBy(view: MembershipView): boolean {
    if (view === this.#view) return false;
    if (view.nodes.length !== this.#nodes.size) return true;
    return view.nodes.some((node) => {
      const known = this.#nodes.get(node.spec.vmId);
      return known?.state !== node.state ||
        known.spec.incarnation !== node.spec.incarnation;
    });
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
    return computeStateRank(node);
  }

  /** Rates a keeper, whichever process runs on its VM. */
  getKeeperStanding(vmId: VmId): Standing {
    const node = this.#nodes.get(vmId);
    return node === undefined ? "unknown" : computeStateRank(node);
  }
}

function computeStateRank(node: NodeView): Standing {
  if (node.state === "dead") return "gone";
  return node.state === "leaving" ? "leaving" : "present";
}

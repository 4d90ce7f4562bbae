/**
 * What a node knows of the other nodes and of the owners of shards.
 */
import type {
  Epoch,
  FailureDomain,
  Region,
  Revision,
  ShardId,
  VmId,
} from "./ids.ts";

/** How the node's own observation and the gossip rate another node. */
export type NodeState = "alive" | "suspect" | "leaving" | "dead";

/** A node as its settings describe it. */
export interface NodeSpec {
  readonly vmId: VmId;
  /** Rises with each start of the process on this VM. */
  readonly incarnation: number;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  /** `ip:port` of the protocol between nodes. */
  readonly peerAddress: string;
  /** `ip:port` of the API for callers. */
  readonly callerAddress: string;
  readonly hasDisk: boolean;
}

/** A node as seen from this one. */
export interface NodeView {
  readonly spec: NodeSpec;
  readonly state: NodeState;
  /** Highest configuration revision that the node reported. */
  readonly revision: Revision;
}

/** The membership as seen from this node. It decides nothing by itself. */
export interface MembershipView {
  readonly self: VmId;
  readonly nodes: readonly NodeView[];
}

/** The stored assignment of one shard. */
export interface ShardAssignment {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly owner: VmId;
  /** Tells two processes that ran on the same VM apart. */
  readonly ownerIncarnation: number;
  /** Up to three keepers, in distinct failure domains where there are. */
  readonly keepers: readonly VmId[];
}

/** A VM in the platform's list, which lags behind. */
export interface VmListing {
  readonly vmId: VmId;
  /** `ip:port` of the protocol between nodes. */
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: "live" | "leaving";
}

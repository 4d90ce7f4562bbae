/**
 * A node's view of the other nodes and of the owners of shards.
 */
import type {
  Epoch,
  FailureDomain,
  Region,
  Revision,
  ShardId,
  VmId,
} from "./ids.ts";

/** The state of another node, from own observation and gossip. */
export type NodeState = "alive" | "suspect" | "leaving" | "dead";

/** A node as its settings describe it. */
export interface NodeSpec {
  readonly vmId: VmId;
  /** Increases with each start of the process on this VM. */
  readonly incarnation: number;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  /** `ip:port` of the protocol between nodes. */
  readonly peerAddress: string;
  /** `ip:port` of the API for callers. */
  readonly callerAddress: string;
  readonly hasDisk: boolean;
}

/** Another node, as observed by this one. */
export interface NodeView {
  readonly spec: NodeSpec;
  readonly state: NodeState;
  /** Highest configuration revision that the node reported. */
  readonly revision: Revision;
}

/** The membership as observed by this node. It doesn't determine ownership. */
export interface MembershipView {
  readonly self: VmId;
  readonly nodes: readonly NodeView[];
}

/** The stored assignment of one shard. */
export interface ShardAssignment {
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly owner: VmId;
  /** Distinguishes two processes that ran on the same VM. */
  readonly ownerIncarnation: number;
  /** Up to three replicas, in distinct failure domains where possible. */
  readonly keepers: readonly VmId[];
}

/** A VM in the platform's list, which may be out of date. */
export interface VmListing {
  readonly vmId: VmId;
  /** `ip:port` of the protocol between nodes. */
  readonly peerAddress: string;
  readonly region: Region;
  readonly failureDomain: FailureDomain;
  readonly state: "live" | "leaving";
}

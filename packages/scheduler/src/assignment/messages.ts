/**
 * The inputs, notices and outputs of shard assignment.
 */
import type {
  Effect,
  Epoch,
  MembershipMessage,
  MembershipView,
  NodeSpec,
  PlatformResponse,
  PlatformToken,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { AssignmentSettings } from "./settings.ts";

/** An input of the assigner. */
export type AssignmentInput =
  | {
    readonly kind: "membership";
    readonly view: MembershipView;
    /** Whether most nodes are unreachable; the node then proposes nothing. */
    readonly isCutOff: boolean;
  }
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: MembershipMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | {
    /** Shards that are excluded from rebalancing. */
    readonly kind: "busy";
    readonly shards: readonly ShardId[];
  }
  | { readonly kind: "tick" }
  /** The node shuts down gracefully: its shards are offered to others. */
  | { readonly kind: "leave" }
  | {
    /**
     * The owner has recovered all entries of earlier owners and replicas and
     * has copied them to its own replicas: predecessors can be removed.
     */
    readonly kind: "recovered";
    readonly shard: ShardId;
    readonly epoch: Epoch;
  }
  | {
    /** Another node has observed a higher epoch of a shard. */
    readonly kind: "stale";
    readonly shard: ShardId;
    readonly knownEpoch: Epoch;
  };

/** An assignment as stored, with those that preceded it. */
export interface StoredShard {
  readonly assignment: ShardAssignment;
  /**
   * Earlier assignments, latest first, back to the last one whose owner
   * confirmed its recovery. Recovery has to read from the replicas of each.
   */
  readonly predecessors: readonly ShardAssignment[];
}

/** A change that the node has to act on. */
export type AssignmentNotice =
  | {
    /** This process owns the shard, according to the platform. */
    readonly kind: "gained";
    readonly assignment: ShardAssignment;
    readonly previous?: ShardAssignment;
    readonly predecessors: readonly ShardAssignment[];
  }
  | {
    /** This process still owns the shard, under a new epoch. */
    readonly kind: "keepers_changed";
    readonly assignment: ShardAssignment;
    readonly predecessors: readonly ShardAssignment[];
  }
  | {
    readonly kind: "lost";
    readonly shard: ShardId;
    /** The epoch under which this process owned it. */
    readonly epoch: Epoch;
  }
  | { readonly kind: "changed"; readonly assignment: ShardAssignment }
  /** A leaving node no longer owns any shard. */
  | { readonly kind: "handed_over" };

/** The result of handling one input. */
export interface AssignmentStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly AssignmentNotice[];
}

/** The cached owners of shards; they may be stale. */
export interface AssignmentView {
  findAssignment(shard: ShardId): ShardAssignment | undefined;
  /** The shards that this process owns. */
  listOwned(): readonly ShardId[];
}

/** The options of an assigner. */
export interface AssignmentOptions {
  readonly self: NodeSpec;
  readonly settings?: Partial<AssignmentSettings>;
}

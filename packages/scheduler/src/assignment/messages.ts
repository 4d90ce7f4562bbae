/**
 * The inputs, notices and outputs of shard assignment.
 */
import type {
  Effect,
  Epoch,
  MembershipMessage,
  MembershipView,
  NodeSpec,
  PlatformAnswer,
  PlatformToken,
  ShardAssignment,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { AssignmentSettings } from "./settings.ts";

/** What the assigner is told. */
export type AssignmentInput =
  | {
    readonly kind: "membership";
    readonly view: MembershipView;
    /** A node that is cut off proposes nothing. */
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
    readonly answer: PlatformAnswer;
  }
  | {
    /** Shards that aren't to be given away only to even out the load. */
    readonly kind: "busy";
    readonly shards: readonly ShardId[];
  }
  | { readonly kind: "tick" }
  /** The node stops: its shards are offered to others. */
  | { readonly kind: "leave" }
  | {
    /**
     * The owner holds all that earlier owners and keepers held, and its own
     * keepers have it: the predecessors may be forgotten.
     */
    readonly kind: "recovered";
    readonly shard: ShardId;
    readonly epoch: Epoch;
  }
  | {
    /** Another node knows a higher epoch of a shard. */
    readonly kind: "stale";
    readonly shard: ShardId;
    readonly knownEpoch: Epoch;
  };

/** An assignment as stored, with what led to it. */
export interface StoredShard {
  readonly assignment: ShardAssignment;
  /**
   * Earlier assignments, latest first, back to the last one whose owner
   * confirmed its recovery: recovery has to ask the keepers of each.
   */
  readonly predecessors: readonly ShardAssignment[];
}

/** What the node has to act on. */
export type AssignmentNotice =
  | {
    /** This process owns the shard; the platform said so. */
    readonly kind: "gained";
    readonly assignment: ShardAssignment;
    readonly previous?: ShardAssignment;
    readonly predecessors: readonly ShardAssignment[];
  }
  | {
    /** This process owns the shard as before, under a new epoch. */
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
  /** A leaving node owns nothing any more. */
  | { readonly kind: "handed_over" };

/** What the assigner decided. */
export interface AssignmentStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly AssignmentNotice[];
}

/** What is known of the owners; it may lag behind. */
export interface AssignmentView {
  ownerOf(shard: ShardId): ShardAssignment | undefined;
  /** The shards that this process owns. */
  listOwned(): readonly ShardId[];
}

/** What an assigner is made of. */
export interface AssignmentOptions {
  readonly self: NodeSpec;
  readonly settings?: Partial<AssignmentSettings>;
}

/**
 * The inputs of a hosted shard, and the effects and notices that it returns.
 */
import type {
  AttemptEvent,
  AttemptId,
  DispatchMessage,
  Effect,
  OwnerMessage,
  PlatformResponse,
  PlatformToken,
  ReplicaMessage,
  TargetOrderResult,
  VmId,
} from "@camphorlock/types";

/** An input of a hosted shard. */
export type ShardHostInput =
  | {
    readonly kind: "keeper";
    readonly from: VmId;
    readonly message: ReplicaMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | {
    readonly kind: "request";
    readonly from: VmId;
    readonly message: OwnerMessage;
  }
  | { readonly kind: "slot"; readonly message: DispatchMessage }
  | {
    readonly kind: "attempt";
    readonly attemptId: AttemptId;
    readonly event: AttemptEvent;
  }
  | {
    readonly kind: "order_result";
    readonly number: number;
    readonly result: TargetOrderResult;
  }
  /** The shard is about to move. No new work starts until `untilMs`. */
  | { readonly kind: "drain"; readonly untilMs: number }
  | { readonly kind: "vms_gone"; readonly vmIds: readonly VmId[] }
  | { readonly kind: "tick" };

/** A notice that the node has to act on. */
export type ShardHostNotice =
  | { readonly kind: "recovered" }
  /** The log was superseded or closed, or it can't be read. */
  | { readonly kind: "ended" };

/** The effects and notices of one input. */
export interface ShardHostStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ShardHostNotice[];
}

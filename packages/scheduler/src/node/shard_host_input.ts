/**
 * What a hosted shard is told, and what it tells its node.
 */
import type {
  AttemptEvent,
  AttemptId,
  DispatchMessage,
  Effect,
  KeeperMessage,
  OwnerMessage,
  PlatformAnswer,
  PlatformToken,
  TargetOrderResult,
  VmId,
} from "@camphorlock/types";

/** What a hosted shard is told. */
export type ShardHostInput =
  | {
    readonly kind: "keeper";
    readonly from: VmId;
    readonly message: KeeperMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformAnswer;
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
  /** The shard is about to move: nothing new is started until then. */
  | { readonly kind: "drain"; readonly untilMs: number }
  | { readonly kind: "vms_gone"; readonly vmIds: readonly VmId[] }
  | { readonly kind: "tick" };

/** What the node has to act on. */
export type ShardHostNotice =
  | { readonly kind: "recovered" }
  /** Another owner has the shard, or its log can't be read. */
  | { readonly kind: "ended" };

/** What a hosted shard asks for. */
export interface ShardHostStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly ShardHostNotice[];
}

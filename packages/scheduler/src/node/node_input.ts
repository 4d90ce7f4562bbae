/**
 * The inputs of a node, and the effects and notices that it returns.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  AttemptEvent,
  AttemptId,
  CallerRequest,
  Effect,
  NodeQuery,
  PeerMessage,
  PlatformResponse,
  PlatformToken,
  ProgramId,
  RequestId,
  TargetOrderResult,
  VmId,
  VmListing,
} from "@camphorlock/types";
import type { ChangeInput } from "../configuration/mod.ts";
import type { CollectedRows } from "./row_collector.ts";
import type { ConfigurationNotice } from "../configuration/mod.ts";

/** An input of a node. */
export type NodeInput =
  | {
    readonly kind: "caller_request";
    readonly requestId: RequestId;
    readonly request: CallerRequest;
    readonly mayBeRepeat: boolean;
  }
  | { readonly kind: "caller_gone"; readonly requestId: RequestId }
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: PeerMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | {
    readonly kind: "attempt";
    readonly attemptId: AttemptId;
    readonly event: AttemptEvent;
  }
  | {
    readonly kind: "order_result";
    readonly programId: ProgramId;
    readonly number: number;
    readonly result: TargetOrderResult;
  }
  | ChangeInput
  | {
    readonly kind: "query";
    readonly requestId: RequestId;
    readonly query: NodeQuery;
  }
  | { readonly kind: "vm_list"; readonly vms: readonly VmListing[] }
  | { readonly kind: "tick" }
  /** Graceful shutdown: the node takes no new work and hands over its shards. */
  | { readonly kind: "stop" };

/** A notice that the surrounding process has to act on. */
export type NodeNotice =
  | ConfigurationNotice
  /** The rows of every node that responded in time. */
  | ({ readonly kind: "query_answered" } & CollectedRows)
  /** Every shard has another owner, so the process may exit. */
  | { readonly kind: "handed_over" }
  /** A later process runs on this VM, so this process has to exit. */
  | { readonly kind: "superseded" };

/** The effects and notices of one input. */
export interface NodeStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly NodeNotice[];
}

/** The reason why a node currently takes no requests. */
export type NodeRefusal = Failure;

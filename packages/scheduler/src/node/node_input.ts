/**
 * What a node is told by its edges, and what it tells the process around it.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  AttemptEvent,
  AttemptId,
  CallerRequest,
  Effect,
  NodeQuery,
  PeerMessage,
  PlatformAnswer,
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

/** Anything that happens to a node. */
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
    readonly answer: PlatformAnswer;
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
  /** A planned stop: takes nothing new and hands the shards over. */
  | { readonly kind: "stop" };

/** What the process around the node has to act on. */
export type NodeNotice =
  | ConfigurationNotice
  /** The rows of every node that answered in time. */
  | ({ readonly kind: "query_answered" } & CollectedRows)
  /** Every shard has another owner; the process may end. */
  | { readonly kind: "handed_over" }
  /** A later process runs on this VM; this one has to end. */
  | { readonly kind: "superseded" };

/** What a node asks for after an input. */
export interface NodeStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly NodeNotice[];
}

/** Why a node takes no requests at present. */
export type NodeRefusal = Failure;

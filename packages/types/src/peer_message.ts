/**
 * Messages between nodes.
 *
 * Receivers ignore unknown fields, so that two releases can run side by side. A
 * message of an unknown kind is dropped and logged.
 */
import type {
  AttemptId,
  Epoch,
  Partner,
  ProgramId,
  RequestId,
  Revision,
  ShardId,
  TargetId,
  VmId,
} from "./ids.ts";
import type { CallerRequest, CallerResponse } from "./caller.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { NodeSpec, NodeState, ShardAssignment } from "./membership.ts";
import type { ProgramClass } from "./program.ts";
import type { NodeQuery, QueryRow } from "./query.ts";

/** Any message between two nodes. */
export type PeerMessage =
  | OwnerMessage
  | ReplicaMessage
  | DispatchMessage
  | MembershipMessage
  | ConfigurationMessage
  | OperatorMessage;

/** Messages between the node that runs an operator's query and all others. */
export type OperatorMessage =
  | {
    readonly kind: "rows_request";
    readonly requestId: RequestId;
    readonly query: NodeQuery;
  }
  | {
    readonly kind: "rows_answer";
    readonly requestId: RequestId;
    readonly rows: readonly QueryRow[];
  };

/** Messages between a caller's entry and the owner of a program. */
export type OwnerMessage =
  | {
    readonly kind: "owner_request";
    readonly requestId: RequestId;
    readonly shard: ShardId;
    readonly request: CallerRequest;
  }
  | {
    readonly kind: "owner_answer";
    readonly requestId: RequestId;
    readonly answer: CallerResponse;
  }
  | {
    /** The receiver doesn't own the shard; the request had no effect. */
    readonly kind: "not_owner";
    readonly requestId: RequestId;
    readonly shard: ShardId;
    readonly knownEpoch: Epoch;
  }
  | { readonly kind: "caller_gone"; readonly requestId: RequestId };

/** Messages between the owner of a shard and the replicas of recent entries. */
export type ReplicaMessage =
  | {
    readonly kind: "keep_entries";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly entries: readonly LedgerEntry[];
    /** Entries up to this sequence are stored on the platform: drop them. */
    readonly storedThrough: number;
    /** The sender has reported entries up to this sequence as durable. */
    readonly durableThrough: number;
    /** Incarnation of the addressed replica; zero requests the current one. */
    readonly keeperIncarnation: number;
    /** Echoed in the response, which confirms the epoch as of the request. */
    readonly token: number;
  }
  | {
    readonly kind: "entries_kept";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    /** Every entry up to this sequence is held by the replica or stored. */
    readonly keptThrough: number;
    /** Incarnation of the responding replica. */
    readonly keeperIncarnation: number;
    readonly token: number;
  }
  | {
    /** A higher epoch sealed this replica; the sender is no longer owner. */
    readonly kind: "keep_refused";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly sealedEpoch: Epoch;
    readonly token: number;
  }
  | {
    readonly kind: "seal_keeper";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    /** Requests only entries after this sequence. */
    readonly afterSequence: number;
    readonly token: number;
  }
  | {
    readonly kind: "keeper_sealed";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    /** The epoch whose entries the replica holds; zero if it holds none. */
    readonly heldEpoch: Epoch;
    readonly entries: readonly LedgerEntry[];
    /** Whether the replica holds entries after the last one of `entries`. */
    readonly more: boolean;
    readonly storedThrough: number;
    readonly keptThrough: number;
    /** Whether the replica has all entries reported durable in `heldEpoch`. */
    readonly complete: boolean;
    readonly keeperIncarnation: number;
    readonly token: number;
  };

/** Messages between the node that runs a call and a target's dispatcher. */
export type DispatchMessage =
  | {
    readonly kind: "slot_request";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    readonly partner: Partner;
    readonly programClass: ProgramClass;
    readonly agent: string;
    readonly programId: ProgramId;
    /** Service time received by the complete program tree, in milliseconds. */
    readonly attainedMs: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly maxTokens: number;
    /** Age of the program tree, which breaks ties in the queue order. */
    readonly programAgeMs?: number;
  }
  | {
    readonly kind: "slot_granted";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    /** Lifetime of the grant from its arrival, unless renewed. */
    readonly expiresInMs: number;
    /** The target's current load, newer than that of `target_loads`. */
    readonly load?: TargetLoad;
  }
  | {
    readonly kind: "slot_refused";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    readonly reason:
      | "queue_full"
      | "leaving"
      | "slow"
      | "unknown_target"
      | "expired";
    readonly retryAfterMs: number;
    readonly load?: TargetLoad;
  }
  | {
    readonly kind: "slot_renewed";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    /** Tokens received since the last renewal. */
    readonly tokens: number;
  }
  | {
    readonly kind: "slot_released";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    readonly outcome: "completed" | "failed" | "cancelled" | "stalled";
    readonly firstTokenMs: number;
    readonly durationMs: number;
    readonly tokens: number;
  }
  | {
    readonly kind: "target_loads";
    readonly loads: readonly TargetLoad[];
  };

/** A dispatcher's load report on a target, for the nodes that place calls. */
export interface TargetLoad {
  readonly targetId: TargetId;
  readonly running: number;
  readonly queued: number;
  /** The dispatcher's current concurrency limit. */
  readonly limit: number;
  /** Prompt tokens waiting or in prefill. */
  readonly queuedPromptTokens: number;
  /** Recent speed relative to the target's peers; 1 is the usual speed. */
  readonly relativeSpeed: number;
  /** Observed time between two tokens of a stream; absent when unknown. */
  readonly tokenMs?: number;
  /** Moving average of the time for which a slot is held. */
  readonly slotMs?: number;
  /** Prompt tokens that calls in running slots have yet to prefill. */
  readonly prefillTokens?: number;
  /** The waiting calls by partner; a partner without any is left out. */
  readonly queuedBy?: readonly PartnerQueue[];
}

/** The waiting calls of one partner. */
export interface PartnerQueue {
  readonly partner: Partner;
  readonly queued: number;
  /** The number of these calls whose program is of class `short`. */
  readonly short: number;
}

/** Messages between all nodes about membership and shard ownership. */
export type MembershipMessage =
  | {
    readonly kind: "heartbeat";
    readonly spec: NodeSpec;
    readonly state: "alive" | "leaving";
    readonly revision: Revision;
    /** Echoed in the acknowledgement. */
    readonly number: number;
    /** The sender's own digest number, see `NodeDigest`. */
    readonly stateNumber: number;
    /** Number of nodes in the sender's view; missing ones are sent back. */
    readonly knownNodes: number;
    readonly digest: readonly NodeDigest[];
    /** Sent until the sender has observed the newest revision on all nodes. */
    readonly report?: RevisionReport;
  }
  | {
    readonly kind: "heartbeat_ack";
    readonly number: number;
    /** The responding process, which may be newer than the addressed one. */
    readonly incarnation: number;
    readonly revision: Revision;
    readonly digest: readonly NodeDigest[];
    /** The response to the report of a heartbeat. */
    readonly report?: RevisionReport;
  }
  | {
    /** Requests an indirect probe of a node that doesn't respond. */
    readonly kind: "probe_request";
    readonly vmId: VmId;
    readonly number: number;
  }
  | {
    readonly kind: "probe_result";
    readonly vmId: VmId;
    readonly number: number;
    readonly reached: boolean;
  }
  | {
    readonly kind: "assignment_news";
    readonly assignments: readonly ShardAssignment[];
  }
  | {
    /** The current owner is ready to transfer these shards to the receiver. */
    readonly kind: "handover_offer";
    readonly shards: readonly ShardId[];
  };

/** Gossip about a node. The higher incarnation, number, then state wins. */
export interface NodeDigest {
  readonly spec: NodeSpec;
  readonly state: NodeState;
  /** Increased by the node itself, for example to refute a suspicion. */
  readonly number: number;
  readonly revision: Revision;
}

/** A sample of the processes that have a revision in force. */
export interface RevisionReport {
  readonly revision: Revision;
  /** Eight bytes for each process: a hash of its VM and incarnation. */
  readonly processes: Uint8Array;
  /** Asks the receiver which of these processes have the revision in force. */
  readonly lacking?: Uint8Array;
}

/** Messages between all nodes about the configuration. */
export type ConfigurationMessage =
  | {
    readonly kind: "configuration_request";
    readonly afterRevision: Revision;
  }
  | {
    readonly kind: "configuration_offer";
    readonly revision: Revision;
    /** The stored object of the revision, in the platform's encoding. */
    readonly value: Uint8Array;
  };

/**
 * Messages between the system's own processes.
 *
 * Receivers ignore fields they don't know, so that two releases run side by
 * side; a message of an unknown kind is dropped and logged.
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
import type { CallerAnswer, CallerRequest } from "./caller.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { NodeSpec, NodeState, ShardAssignment } from "./membership.ts";
import type { ProgramClass } from "./program.ts";

/** Any message between two nodes. */
export type PeerMessage =
  | OwnerMessage
  | KeeperMessage
  | DispatchMessage
  | MembershipMessage
  | ConfigurationMessage;

/** Between the entry of a caller and the owner of a program. */
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
    readonly answer: CallerAnswer;
  }
  | {
    /** The receiver doesn't own the shard; nothing was done. */
    readonly kind: "not_owner";
    readonly requestId: RequestId;
    readonly shard: ShardId;
    readonly knownEpoch: Epoch;
  }
  | { readonly kind: "caller_gone"; readonly requestId: RequestId };

/** Between the owner of a shard and the keepers of its recent entries. */
export type KeeperMessage =
  | {
    readonly kind: "keep_entries";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly entries: readonly LedgerEntry[];
    /** Entries up to this sequence are on the platform: drop them. */
    readonly storedThrough: number;
    /** Entries up to this sequence were reported durable by the sender. */
    readonly durableThrough: number;
    /** The keeper process that is meant; zero asks which one runs. */
    readonly keeperIncarnation: number;
    /** Echoed in the answer; an answer confirms the epoch at that moment. */
    readonly token: number;
  }
  | {
    readonly kind: "entries_kept";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    /** Every entry up to this sequence is held here or on the platform. */
    readonly keptThrough: number;
    /** The keeper process that answers. */
    readonly keeperIncarnation: number;
    readonly token: number;
  }
  | {
    /** A higher epoch has sealed this keeper; the sender isn't the owner. */
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
    /** Only entries beyond this sequence are wanted. */
    readonly afterSequence: number;
    readonly token: number;
  }
  | {
    readonly kind: "keeper_sealed";
    readonly shard: ShardId;
    readonly epoch: Epoch;
    /** The epoch whose entries are held; zero when there are none. */
    readonly heldEpoch: Epoch;
    readonly entries: readonly LedgerEntry[];
    /** Whether entries beyond the last one sent are held, too. */
    readonly more: boolean;
    readonly storedThrough: number;
    readonly keptThrough: number;
    /** Whether every entry reported durable under `heldEpoch` is held. */
    readonly complete: boolean;
    readonly keeperIncarnation: number;
    readonly token: number;
  };

/** Between the node that runs a call and the dispatcher of a target. */
export type DispatchMessage =
  | {
    readonly kind: "slot_request";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    readonly partner: Partner;
    readonly programClass: ProgramClass;
    readonly agent: string;
    readonly programId: ProgramId;
    /** Service time the whole program tree has had, in milliseconds. */
    readonly attainedMs: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly maxTokens: number;
    /** Age of the program tree, which orders equals. */
    readonly programAgeMs?: number;
  }
  | {
    readonly kind: "slot_granted";
    readonly attemptId: AttemptId;
    readonly targetId: TargetId;
    /** Life of the grant unless renewed, from its arrival. */
    readonly expiresInMs: number;
    /** The target's load at this moment, fresher than the spread ones. */
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

/** A dispatcher's summary of one target, spread to the nodes that place. */
export interface TargetLoad {
  readonly targetId: TargetId;
  readonly running: number;
  readonly queued: number;
  /** Concurrency the dispatcher allows at present. */
  readonly limit: number;
  /** Prompt tokens waiting or in prefill. */
  readonly queuedPromptTokens: number;
  /** Recent speed relative to the target's peers, one being usual. */
  readonly relativeSpeed: number;
  /** Observed time between two tokens of a stream; absent when unknown. */
  readonly tokenMs?: number;
  /** Usual time for which a slot is held. */
  readonly slotMs?: number;
  /** Prompt tokens that running slots have still to compute. */
  readonly prefillTokens?: number;
  /** The waiting calls of each partner that has any. */
  readonly queuedBy?: readonly PartnerQueue[];
}

/** The waiting calls of one partner. */
export interface PartnerQueue {
  readonly partner: Partner;
  readonly queued: number;
  /** How many of them are short. */
  readonly short: number;
}

/** Between all nodes, about who is alive and who owns what. */
export type MembershipMessage =
  | {
    readonly kind: "heartbeat";
    readonly spec: NodeSpec;
    readonly state: "alive" | "leaving";
    readonly revision: Revision;
    /** Echoed in the acknowledgement. */
    readonly number: number;
    /** Number of the sender's statement about itself, see `NodeDigest`. */
    readonly stateNumber: number;
    /** Nodes that the sender knows; one that knows few is sent more. */
    readonly knownNodes: number;
    readonly digest: readonly NodeDigest[];
    /** Sent while the sender doesn't know the newest revision of all. */
    readonly report?: RevisionReport;
  }
  | {
    readonly kind: "heartbeat_ack";
    readonly number: number;
    /** The process that answers, which may have started since. */
    readonly incarnation: number;
    readonly revision: Revision;
    readonly digest: readonly NodeDigest[];
    /** Answers the report of a heartbeat. */
    readonly report?: RevisionReport;
  }
  | {
    /** Asks a third node to probe one that doesn't answer the sender. */
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
    /** The present owner is ready for the receiver to take these shards. */
    readonly kind: "handover_offer";
    readonly shards: readonly ShardId[];
  };

/** A rumour about a node. The higher incarnation, then number, then state win. */
export interface NodeDigest {
  readonly spec: NodeSpec;
  readonly state: NodeState;
  /** Rises when the node restates itself, as to refute that it is dead. */
  readonly number: number;
  readonly revision: Revision;
}

/** A sample of the processes known to have a revision in force. */
export interface RevisionReport {
  readonly revision: Revision;
  /** Eight bytes for each process: a hash of its VM and incarnation. */
  readonly processes: Uint8Array;
  /** Asks which of these processes have it. */
  readonly lacking?: Uint8Array;
}

/** Between all nodes, about the configuration. */
export type ConfigurationMessage =
  | {
    readonly kind: "configuration_request";
    readonly afterRevision: Revision;
  }
  | {
    readonly kind: "configuration_offer";
    readonly revision: Revision;
    /** The stored object of that revision, as on the platform. */
    readonly value: Uint8Array;
  };

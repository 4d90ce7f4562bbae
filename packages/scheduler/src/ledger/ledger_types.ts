/**
 * Options, limits, inputs and notices of a shard's ledger.
 */
import type {
  Effect,
  Epoch,
  FailureDomain,
  PlatformResponse,
  PlatformToken,
  ReplicaMessage,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { ReplicaProcess } from "./segment.ts";
import type { LogExtent } from "./segment_index.ts";
import type { WritePacer } from "./write_pacer.ts";

/** Size limits and timeouts of one shard's ledger. */
export interface LedgerLimits {
  /** Slots of the log's ring, after which the oldest slot is used again. */
  readonly ringSize: number;
  /** Live segments at which a snapshot is due. */
  readonly snapshotAfterSegments: number;
  /** Encoded bytes of the entries in live segments that make a snapshot due. */
  readonly snapshotAfterBytes: number;
  /** Maximum encoded bytes of the entries in one segment. */
  readonly segmentBytes: number;
  /** Maximum encoded bytes of the entries in one message to a replica. */
  readonly messageBytes: number;
  /** Maximum encoded bytes of the entries that aren't on the platform yet. */
  readonly unstoredBytes: number;
  /** Time without a replica's response after which a message is resent. */
  readonly resendAfterMs: number;
  /** Maximum interval between messages to an unresponsive replica. */
  readonly maxResendMs: number;
  /** Time after which a platform request without a response counts as lost. */
  readonly platformTimeoutMs: number;
}

/** The limits that a node uses unless its settings override them. */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  ringSize: 1_024,
  snapshotAfterSegments: 256,
  snapshotAfterBytes: 32_000_000,
  segmentBytes: 900_000,
  messageBytes: 1_000_000,
  unstoredBytes: 8_000_000,
  resendAfterMs: 100,
  maxResendMs: 2_000,
  platformTimeoutMs: 10_000,
};

/** An input of a ledger or a recovery. */
export type LedgerInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: ReplicaMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformResponse;
  }
  | { readonly kind: "tick" };

/** A notice that the owner of a shard has to act on. */
export type LedgerNotice =
  | {
    /** Entries up to this sequence survive the loss of any failure domain. */
    readonly kind: "durable";
    readonly through: number;
  }
  | {
    /** The epoch was current at a moment after the request. */
    readonly kind: "confirmed";
    readonly token: number;
  }
  | {
    /** A newer epoch owns the shard: this owner must send no more responses. */
    readonly kind: "superseded";
    readonly epoch: Epoch;
  }
  | {
    readonly kind: "snapshot_stored";
    readonly throughSequence: number;
  }
  | {
    /** Every appended entry is on the platform and the log is closed. */
    readonly kind: "closed";
  };

/** The effects and notices that result from an input. */
export interface LedgerStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly LedgerNotice[];
}

/** The position at which an owner continues a shard's log after recovery. */
export interface LedgerStart {
  readonly keepers: readonly ReplicaProcess[];
  /** Replicas of earlier epochs, which may drop their entries. */
  readonly formerReplicas: readonly ReplicaProcess[];
  /** The sequence of the first entry to be appended. */
  readonly firstSequence: number;
  readonly nextSegment: number;
  /** Segments that no snapshot covers yet. */
  readonly extents: readonly LogExtent[];
}

/** The options of a shard's ledger. */
export interface ShardLedgerOptions extends LedgerStart {
  readonly self: VmId;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly failureDomainOf: (vmId: VmId) => FailureDomain;
  readonly limits: LedgerLimits;
  readonly pacer: WritePacer;
}

/** The result of an append. */
export interface AppendStep {
  /** The sequence of the last entry. */
  readonly sequence: number;
  readonly effects: readonly Effect[];
}

/** A requested confirmation that the epoch is still current. */
export interface ConfirmStep {
  /** The notice `confirmed` carries the same token. */
  readonly token: number;
  readonly effects: readonly Effect[];
}

/** The owner's encoded state after an entry. */
export interface SnapshotContent {
  readonly throughSequence: number;
  /** Each is smaller than 1 MB. */
  readonly parts: readonly Uint8Array[];
}

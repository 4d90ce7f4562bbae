/**
 * Options, limits, inputs and notices of a shard's ledger.
 */
import type {
  Effect,
  Epoch,
  FailureDomain,
  KeeperMessage,
  PlatformAnswer,
  PlatformToken,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { KeeperProcess } from "./segment.ts";
import type { LogExtent } from "./segment_index.ts";
import type { WritePacer } from "./write_pacer.ts";

/** Bounds and periods of one shard's ledger. */
export interface LedgerLimits {
  /** Segments on the platform, before the oldest name is used again. */
  readonly ringSize: number;
  /** Segments after which a snapshot is due. */
  readonly snapshotAfterSegments: number;
  /** Encoded entries in segments after which a snapshot is due, in bytes. */
  readonly snapshotAfterBytes: number;
  /** Encoded entries of one segment, in bytes. */
  readonly segmentBytes: number;
  /** Encoded entries of one message to a keeper, in bytes. */
  readonly messageBytes: number;
  /** Encoded entries that aren't on the platform yet, in bytes. */
  readonly unstoredBytes: number;
  /** Silence of a keeper after which a message is sent again. */
  readonly resendAfterMs: number;
  /** Longest pause between two messages to a silent keeper. */
  readonly resendAtMostMs: number;
  /** Silence of the platform after which an answer counts as lost. */
  readonly platformTimeoutMs: number;
}

/** The limits that a node uses unless its settings say otherwise. */
export const DEFAULT_LEDGER_LIMITS: LedgerLimits = {
  ringSize: 1_024,
  snapshotAfterSegments: 256,
  snapshotAfterBytes: 32_000_000,
  segmentBytes: 900_000,
  messageBytes: 1_000_000,
  unstoredBytes: 8_000_000,
  resendAfterMs: 100,
  resendAtMostMs: 2_000,
  platformTimeoutMs: 10_000,
};

/** What a ledger, a recovery or their parts are told. */
export type LedgerInput =
  | {
    readonly kind: "peer";
    readonly from: VmId;
    readonly message: KeeperMessage;
  }
  | {
    readonly kind: "platform";
    readonly token: PlatformToken;
    readonly answer: PlatformAnswer;
  }
  | { readonly kind: "tick" };

/** What the owner of a shard has to act on. */
export type LedgerNotice =
  | {
    /** Entries up to this sequence survive the loss of any one domain. */
    readonly kind: "durable";
    readonly through: number;
  }
  | {
    /** The epoch held at a moment after the question was put. */
    readonly kind: "confirmed";
    readonly token: number;
  }
  | {
    /** Another owner takes the shard: answer nothing more from it. */
    readonly kind: "superseded";
    readonly epoch: Epoch;
  }
  | {
    readonly kind: "snapshot_stored";
    readonly throughSequence: number;
  }
  | {
    /** Everything appended is on the platform and the log is closed. */
    readonly kind: "closed";
  };

/** What a ledger asks for and reports after an input. */
export interface LedgerStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly LedgerNotice[];
}

/** Where an owner goes on in a shard's log. A recovery gives it. */
export interface LedgerStart {
  readonly keepers: readonly KeeperProcess[];
  /** Keepers of earlier epochs, which may drop what they hold. */
  readonly formerKeepers: readonly KeeperProcess[];
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

/** What an append gave. */
export interface AppendStep {
  /** The sequence of the last entry. */
  readonly sequence: number;
  readonly effects: readonly Effect[];
}

/** A question whether the epoch holds. */
export interface ConfirmStep {
  /** The notice `confirmed` repeats it. */
  readonly token: number;
  readonly effects: readonly Effect[];
}

/** The owner's encoded state after an entry. */
export interface SnapshotContent {
  readonly throughSequence: number;
  /** Each below 1 MB. */
  readonly parts: readonly Uint8Array[];
}

/**
 * The options, inputs and notices of a shard's recovery.
 */
import type { Failure } from "@camphorlock/codes";
import type {
  Effect,
  Epoch,
  LedgerEntry,
  ShardId,
  VmId,
} from "@camphorlock/types";
import type { LedgerInput, LedgerLimits, LedgerStart } from "./ledger_types.ts";

/** The options of a recovery. */
export interface ShardRecoveryOptions {
  readonly shard: ShardId;
  /** The epoch under which the assignment names this node as the owner. */
  readonly epoch: Epoch;
  /** The replicas of the new epoch. */
  readonly keepers: readonly VmId[];
  readonly limits: LedgerLimits;
  /** Wait for unresponsive replicas before their entries count as lost. */
  readonly exposeAfterMs: number;
}

/**
 * An input of a recovery.
 *
 * `vms_gone` names VMs that were removed from the platform's list: their
 * processes have ended permanently. A VM that is merely unresponsive must not
 * be named, because the former owner may still reach it.
 */
export type RecoveryInput =
  | LedgerInput
  | { readonly kind: "vms_gone"; readonly vmIds: readonly VmId[] };

/** The state that a new owner starts with. */
export interface RecoveredShard {
  readonly snapshot?: {
    readonly throughSequence: number;
    readonly parts: readonly Uint8Array[];
  };
  /** The entries after the snapshot. */
  readonly entries: readonly LedgerEntry[];
  readonly start: LedgerStart;
  /** Whether durable entries may be missing. */
  readonly isExposed: boolean;
}

/** A notice that the new owner has to act on. */
export type RecoveryNotice =
  | { readonly kind: "recovered"; readonly shard: RecoveredShard }
  | { readonly kind: "superseded"; readonly epoch: Epoch }
  | {
    /** These replicas don't respond; the shard isn't served until they do. */
    readonly kind: "waiting";
    readonly missing: readonly VmId[];
  }
  | {
    /** Entries that only these or restarted replicas held may be lost. */
    readonly kind: "exposed";
    readonly missing: readonly VmId[];
  }
  | {
    /** The log is unreadable or its ring is full; an operator must act. */
    readonly kind: "damaged";
    readonly failure: Failure;
  };

/** The effects and notices that result from an input. */
export interface RecoveryStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly RecoveryNotice[];
}

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
  /** The keepers of the new epoch. */
  readonly keepers: readonly VmId[];
  readonly limits: LedgerLimits;
  /** Wait for silent keepers after which entries are given up as lost. */
  readonly exposeAfterMs: number;
}

/**
 * A recovery's input.
 *
 * `vms_gone` names VMs whose processes have ended for good: the platform's list
 * had them and has them no more. A VM that is only silent must not be named,
 * because the former owner may still be in touch with it.
 */
export type RecoveryInput =
  | LedgerInput
  | { readonly kind: "vms_gone"; readonly vmIds: readonly VmId[] };

/** The state that a new owner begins with. */
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

/** What the new owner has to act on. */
export type RecoveryNotice =
  | { readonly kind: "recovered"; readonly shard: RecoveredShard }
  | { readonly kind: "superseded"; readonly epoch: Epoch }
  | {
    /** These keepers are silent; nothing is served until they answer. */
    readonly kind: "waiting";
    readonly missing: readonly VmId[];
  }
  | {
    /** Entries may be lost that only these keepers or processes held. */
    readonly kind: "exposed";
    readonly missing: readonly VmId[];
  }
  | {
    /** The log can't be read; an operator is needed. */
    readonly kind: "damaged";
    readonly failure: Failure;
  };

/** What a recovery asks for and reports after an input. */
export interface RecoveryStep {
  readonly effects: readonly Effect[];
  readonly notices: readonly RecoveryNotice[];
}

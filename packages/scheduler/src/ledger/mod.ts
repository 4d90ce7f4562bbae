/**
 * The durable ledger of a shard: the owner's side, its keepers, recovery by a
 * new owner, and snapshots. docs/LEDGER.md gives the reasons.
 */
export { DEFAULT_KEEPER_BYTES, Keeper, type KeeperOptions } from "./keeper.ts";
export {
  DEFAULT_LEDGER_LIMITS,
  type LedgerInput,
  type LedgerLimits,
  type LedgerNotice,
  type LedgerStep,
} from "./ledger_types.ts";
export type { SnapshotContent } from "./log_committer.ts";
export type {
  RecoveredShard,
  RecoveryInput,
  RecoveryNotice,
  RecoveryStep,
  ShardRecoveryOptions,
} from "./recovery_types.ts";
export {
  type AppendStep,
  type ConfirmStep,
  type LedgerStart,
  ShardLedger,
  type ShardLedgerOptions,
} from "./shard_ledger.ts";
export { ShardRecovery } from "./shard_recovery.ts";
export { WritePacer, type WritePacerOptions } from "./write_pacer.ts";

/**
 * The durable ledger of a shard: the owner's side, its keepers, recovery by a
 * new owner, and snapshots. docs/LEDGER.md gives the reasons.
 */
export * from "./ledger_types.ts";
export * from "./recovery_types.ts";
export { DEFAULT_KEEPER_BYTES, Keeper, type KeeperOptions } from "./keeper.ts";
export { ShardLedger } from "./shard_ledger.ts";
export { ShardRecovery } from "./shard_recovery.ts";
export { WritePacer, type WritePacerOptions } from "./write_pacer.ts";
export {
  type LedgerBenchOptions,
  type LedgerBenchResult,
  runLedgerBench,
} from "./bench.ts";

/**
 * The durable ledger of a shard: the owner's side, its replicas, recovery by
 * a new owner, and snapshots. docs/LEDGER.md explains the design.
 */
export * from "./ledger_types.ts";
export * from "./recovery_types.ts";
export {
  DEFAULT_REPLICA_BYTES,
  Replica,
  type ReplicaOptions,
} from "./replica.ts";
export { ShardLedger } from "./shard_ledger.ts";
export { ShardRecovery } from "./shard_recovery.ts";
export { WritePacer, type WritePacerOptions } from "./write_pacer.ts";
export {
  type LedgerBenchOptions,
  type LedgerBenchResult,
  runLedgerBench,
} from "./bench.ts";

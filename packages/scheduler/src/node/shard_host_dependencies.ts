/**
 * The dependencies that all shard hosts of a node share, and the owner built
 * from them.
 */
import type { FailureDomain, ShardAssignment, VmId } from "@camphorlock/types";
import type { LedgerLimits, ShardLedger, WritePacer } from "../ledger/mod.ts";
import {
  type CallBudgets,
  type CallCharges,
  type CallPlacer,
  type OwnerConfiguration,
  type OwnerLimits,
  ShardOwner,
} from "../owner/mod.ts";
import type { RetryContext } from "../retry/mod.ts";

/** The dependencies of a shard host. */
export interface ShardHostDependencies {
  readonly self: VmId;
  readonly placer: CallPlacer;
  readonly budgets: CallBudgets;
  readonly getConfiguration: () => OwnerConfiguration;
  readonly getWallClockMs: () => number;
  readonly failureDomainOf: (vmId: VmId) => FailureDomain;
  readonly ownerLimits: OwnerLimits;
  readonly retries: RetryContext;
  readonly ledgerLimits: LedgerLimits;
  readonly pacer: WritePacer;
  /** Wait for unresponsive replicas before entries are declared lost. */
  readonly exposeAfterMs: number;
}

/** Creates the owner of a shard under an assignment. */
export function createOwner(
  assignment: ShardAssignment,
  dependencies: ShardHostDependencies,
  own: { readonly ledger: ShardLedger; readonly charges: CallCharges },
): ShardOwner {
  const { shard, epoch } = assignment;
  const { self, placer, budgets, getConfiguration, getWallClockMs } =
    dependencies;
  return new ShardOwner({
    self,
    shard,
    epoch,
    ...own,
    placer,
    budgets,
    getConfiguration,
    getWallClockMs,
    limits: dependencies.ownerLimits,
    retries: dependencies.retries,
  });
}

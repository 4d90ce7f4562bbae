/**
 * What all shards of a node share, and the owner that is built from it.
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
import type { RetryMeans } from "../retry/mod.ts";

/** What all shards of a node share. */
export interface ShardHostParts {
  readonly self: VmId;
  readonly placer: CallPlacer;
  readonly budgets: CallBudgets;
  readonly getConfiguration: () => OwnerConfiguration;
  readonly getWallClockMs: () => number;
  readonly failureDomainOf: (vmId: VmId) => FailureDomain;
  readonly ownerLimits: OwnerLimits;
  readonly retries: RetryMeans;
  readonly ledgerLimits: LedgerLimits;
  readonly pacer: WritePacer;
  /** Wait for silent keepers after which entries are given up as lost. */
  readonly exposeAfterMs: number;
}

/** Creates the owner of a shard under an assignment. */
export function createOwner(
  assignment: ShardAssignment,
  parts: ShardHostParts,
  own: { readonly ledger: ShardLedger; readonly charges: CallCharges },
): ShardOwner {
  const { shard, epoch } = assignment;
  const { self, placer, budgets, getConfiguration, getWallClockMs } = parts;
  return new ShardOwner({
    self,
    shard,
    epoch,
    ...own,
    placer,
    budgets,
    getConfiguration,
    getWallClockMs,
    limits: parts.ownerLimits,
    retries: parts.retries,
  });
}

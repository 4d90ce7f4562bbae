/**
 * Builds the roles of a node and wires them. No other module connects roles to
 * each other.
 */
import type { FailureDomain, VmId } from "@camphorlock/types";
import { ShardAssigner } from "../assignment/mod.ts";
import { Configuration } from "../configuration/mod.ts";
import { Entry } from "../entry/mod.ts";
import { Replica, WritePacer } from "../ledger/mod.ts";
import { Membership } from "../membership/mod.ts";
import { DecisionHistory } from "./decision_history.ts";
import { NodePolicy } from "./node_policy.ts";
import type { NodeOptions } from "./node_settings.ts";
import { RowCollector } from "./row_collector.ts";
import { ShardHosts } from "./shard_hosts.ts";
import { SharedBudgets } from "./shared_budgets.ts";

/** Every role of a node. */
export interface NodeRoles {
  readonly membership: Membership;
  readonly assigner: ShardAssigner;
  readonly configuration: Configuration;
  readonly policy: NodePolicy;
  readonly budgets: SharedBudgets;
  readonly replica: Replica;
  readonly hosts: ShardHosts;
  readonly entry: Entry;
  readonly decisions: DecisionHistory;
  readonly queries: RowCollector;
}

/** Builds the roles of a node. */
export function buildRoles(options: NodeOptions): NodeRoles {
  const { spec, limits, seed } = options;
  const membership = new Membership({
    self: spec,
    seed,
    settings: limits.membership,
  });
  const assigner = new ShardAssigner({
    self: spec,
    settings: limits.assignment,
  });
  const configuration = buildConfiguration(options);
  const policy = new NodePolicy({
    spec,
    seed,
    getValue: () => configuration.value,
    getView: () => membership.view(),
  });
  const budgets = new SharedBudgets(spec);
  const shared = { membership, configuration, policy, budgets };
  return {
    ...shared,
    assigner,
    replica: buildReplica(options),
    hosts: buildHosts(options, shared),
    entry: new Entry({
      self: spec.vmId,
      limits: limits.entry,
      findOwner: (shard) => assigner.view().findAssignment(shard),
    }),
    decisions: new DecisionHistory(spec.vmId),
    queries: new RowCollector(),
  };
}

function buildConfiguration(options: NodeOptions): Configuration {
  const { spec, initial } = options;
  return new Configuration({
    self: spec.vmId,
    incarnation: spec.incarnation,
    region: spec.region,
    ...(initial === undefined ? {} : { initial }),
  });
}

function buildReplica(options: NodeOptions): Replica {
  const { spec, limits } = options;
  return new Replica({
    incarnation: spec.incarnation,
    maxBytes: limits.replicaBytes,
    messageBytes: limits.ledger.messageBytes,
  });
}

function buildHosts(
  options: NodeOptions,
  roles: Pick<
    NodeRoles,
    "membership" | "configuration" | "policy" | "budgets"
  >,
): ShardHosts {
  const { spec, limits, getWallClockMs } = options;
  const { membership, configuration, policy, budgets } = roles;
  return new ShardHosts({
    self: spec.vmId,
    placer: policy,
    budgets,
    retries: policy.retries,
    getConfiguration: () => ({
      revision: configuration.revision,
      value: configuration.value,
    }),
    getWallClockMs,
    failureDomainOf: (vmId) => findDomain(membership, vmId),
    ownerLimits: limits.owner,
    ledgerLimits: limits.ledger,
    pacer: new WritePacer({ writesPerSecond: limits.writesPerSecond }),
    exposeAfterMs: limits.exposeAfterMs,
  });
}

function findDomain(membership: Membership, vmId: VmId): FailureDomain {
  const node = membership.view().nodes
    .find((each) => each.spec.vmId === vmId);
  return node?.spec.failureDomain ?? "";
}

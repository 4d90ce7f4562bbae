/**
 * What a node's rows are built from, read off its roles.
 */
import type { NodeRoles } from "./node_roles.ts";
import type { NodeRowSource } from "./node_rows.ts";
import type { NodeOptions } from "./node_settings.ts";

/** Builds the source of this node's rows. */
export function buildRowSource(
  options: NodeOptions,
  roles: NodeRoles,
  isStopping: boolean,
): NodeRowSource {
  const { spec } = options;
  const { assigner, configuration, decisions, hosts } = roles;
  const view = assigner.view();
  return {
    self: spec.vmId,
    region: spec.region,
    failureDomain: spec.failureDomain,
    revision: configuration.revision,
    isReady: configuration.isReady,
    isStopping,
    programs: hosts.listPrograms(),
    assignments: view.listOwned()
      .flatMap((shard) => view.ownerOf(shard) ?? []),
    decisions,
  };
}

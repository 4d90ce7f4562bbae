/**
 * Reads the state that a node's rows are built from.
 */
import type { NodeRoles } from "./node_roles.ts";
import type { NodeRowSource } from "./node_rows.ts";
import type { NodeOptions } from "./node_settings.ts";

/** Builds the row source from the options and roles of this node. */
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
      .flatMap((shard) => view.findAssignment(shard) ?? []),
    decisions,
  };
}

/**
 * Membership: the nodes of the fleet and their states, as one node sees them.
 */
export * from "./membership.ts";
export * from "./messages.ts";
export type { NodeChange } from "./node_table.ts";
export { RandomChooser } from "./random.ts";
export * from "./settings.ts";

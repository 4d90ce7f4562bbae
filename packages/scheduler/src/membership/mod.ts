/**
 * Membership: which nodes are alive, as seen from one of them.
 */
export * from "./membership.ts";
export * from "./messages.ts";
export type { NodeChange } from "./node_table.ts";
export { RandomChooser } from "./random.ts";
export * from "./settings.ts";

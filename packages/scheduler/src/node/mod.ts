/**
 * A node: its roles, and the routing of inputs and steps between them.
 */
export * from "./node_core.ts";
export * from "./node_input.ts";
export * from "./node_settings.ts";
export type { CollectedRows } from "./row_collector.ts";

/**
 * A node process and its settings, for programs that embed a node.
 */
export * from "./src/node/node_process.ts";
export * from "./src/settings/load_settings.ts";

/**
 * A node and its settings, for programs that embed one.
 */
export * from "./src/node/node_process.ts";
export * from "./src/settings/load_settings.ts";

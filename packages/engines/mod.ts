/**
 * Clients of model engines.
 */
export * from "./src/attempt_stream.ts";
export * from "./src/engine_client.ts";
export * from "./src/engine_feed.ts";
export * from "./src/engine_memory.ts";
export * from "./src/engine_reports.ts";
export * from "./src/engines.ts";

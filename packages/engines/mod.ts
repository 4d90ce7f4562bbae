/**
 * Clients of model engines.
 */
export * from "./src/attempt_stream.ts";
export * from "./src/engine_client.ts";
export * from "./src/engine_poller.ts";
export * from "./src/engine_reports.ts";
export * from "./src/engines.ts";
export * from "./src/kv_cache_transfer.ts";

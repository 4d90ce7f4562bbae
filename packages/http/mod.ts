/**
 * HTTP exchanges with peers, each sent at most once.
 */
export * from "./src/headers.ts";
export * from "./exchange.ts";
export * from "./src/read_json.ts";
export * from "./src/target_clients.ts";

/**
 * Clients of tools and plain services.
 */
export * from "./src/service_client.ts";
export * from "./src/service_outcome.ts";
export * from "./src/services.ts";

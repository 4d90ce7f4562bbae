/**
 * Small stand-ins for engines, services and the platform, and the benches.
 */
export * from "./src/engine/mod.ts";

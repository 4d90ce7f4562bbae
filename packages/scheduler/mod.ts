/**
 * The decisions of the scheduler, as deterministic state machines.
 */
export * from "./src/agreement/mod.ts";
export * from "./src/budget/mod.ts";
export * from "./src/configuration/mod.ts";
export * from "./src/membership/mod.ts";
export * from "./src/node/mod.ts";
export type { OwnerLimits } from "./src/owner/mod.ts";

/**
 * The decisions of the scheduler, as deterministic state machines.
 */
export * from "./src/admission/mod.ts";
export * from "./src/agreement/mod.ts";
export * from "./src/budget/mod.ts";
export * from "./src/configuration/mod.ts";
export * from "./src/dispatch/mod.ts";
export * from "./src/membership/mod.ts";
export * from "./src/node/mod.ts";
export type { PlacementRequest } from "./src/owner/mod.ts";
export type { OwnerLimits } from "./src/owner/mod.ts";
export * from "./src/placement/mod.ts";
export * from "./src/random/mod.ts";
export * from "./src/retry/mod.ts";

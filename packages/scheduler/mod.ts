/**
 * The scheduler's decisions, as deterministic state machines.
 */
export * from "./src/admission/mod.ts";
export * from "./src/agreement/mod.ts";
export * from "./src/budget/mod.ts";
export { runAssignmentBench } from "./src/assignment/bench.ts";
export * from "./src/configuration/mod.ts";
export * from "./src/dispatch/mod.ts";
export { runLedgerBench } from "./src/ledger/bench.ts";
export * from "./src/membership/mod.ts";
export { runMembershipBench } from "./src/membership/bench.ts";
export * from "./src/node/mod.ts";
export * from "./src/owner/mod.ts";
export * from "./src/placement/mod.ts";
export * from "./src/random/mod.ts";
export * from "./src/retry/mod.ts";

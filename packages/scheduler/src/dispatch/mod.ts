/**
 * Queues before the targets: who gets a slot, when, and how many run.
 */
export * from "./dispatcher_set.ts";
export * from "./settings.ts";

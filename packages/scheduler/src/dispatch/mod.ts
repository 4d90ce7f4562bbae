/**
 * Queues of calls per target: the order in which calls get slots, and the limit
 * on calls that run at a time.
 */
export * from "./dispatcher_set.ts";
export * from "./settings.ts";

/**
 * The choice of a target for each call.
 */
export * from "./choose_dispatcher.ts";
export * from "./decision.ts";
export * from "./load_reporter.ts";
export * from "./placement.ts";
export type { CacheEventReport } from "./prefix_index.ts";
export * from "./settings.ts";

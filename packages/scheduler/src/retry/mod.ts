/**
 * Retries and hedges.
 */
export * from "./choose_hedge.ts";
export * from "./choose_retry.ts";
export * from "./retry_budget.ts";
export * from "./settings.ts";

/**
 * Budgets of programs, and the portions of shared budgets that a node holds.
 */
export * from "./budget_object.ts";
export * from "./budget_portions.ts";
export * from "./portion.ts";
export * from "./portion_size.ts";
export * from "./program_budget.ts";

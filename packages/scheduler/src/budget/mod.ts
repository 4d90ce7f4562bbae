/**
 * Budgets of programs, and portions of the budgets that programs share.
 */
export * from "./budget_object.ts";
export * from "./budget_portions.ts";
export * from "./portion.ts";
export * from "./portion_size.ts";
export * from "./program_budget.ts";

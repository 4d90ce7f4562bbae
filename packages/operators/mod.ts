/**
 * The query and command language of operators.
 */
export * from "./src/amount_format.ts";
export * from "./src/explain.ts";
export * from "./src/parse_statement.ts";
export * from "./src/render_table.ts";
export * from "./src/run_query.ts";
export * from "./src/tables.ts";
export { applyChange } from "@camphorlock/scheduler";

/**
 * Renders the measurements of the capacity bench as Markdown tables.
 */
import type { CapacityTable } from "./capacity_bench.ts";

const SIGNIFICANT_DIGITS = 4;

/** Renders the table of one part. */
export function renderCapacity(table: CapacityTable): string {
  const columns = Object.keys(table.rows[0] ?? {});
  const head = `| ${columns.join(" | ")} |`;
  const rule = `|${columns.map(() => "---").join("|")}|`;
  const rows = table.rows.map((row) =>
    `| ${columns.map((column) => formatNumber(row[column])).join(" | ")} |`
  );
  return [`## ${table.name}`, "", head, rule, ...rows, ""].join("\n");
}

function formatNumber(value: number | undefined): string {
  if (value === undefined) return "";
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

/**
 * Renders the results of the decision bench as a Markdown table.
 */
import type { DecisionPoint } from "./decision_bench.ts";

const HEAD = [
  "engines",
  "nodes",
  "mean us",
  "p50 us",
  "p99 us",
  "p99.9 us",
  "tick us",
  "memory KB",
  "KB an engine",
];

/** Renders one table row per size. */
export function renderDecisionReport(points: readonly DecisionPoint[]): string {
  const lines = points.map((each) =>
    formatLine([
      String(each.engines),
      String(each.nodes),
      each.meanUs.toFixed(1),
      each.p50Us.toFixed(1),
      each.p99Us.toFixed(1),
      each.p999Us.toFixed(1),
      each.tickUs.toFixed(0),
      String(each.memoryKb),
      (each.memoryKb / each.engines).toFixed(2),
    ])
  );
  const rule = formatLine(HEAD.map(() => "---"));
  return [formatLine(HEAD), rule, ...lines].join("\n");
}

function formatLine(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

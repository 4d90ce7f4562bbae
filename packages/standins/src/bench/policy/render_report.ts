/**
 * Renders the result of a policy bench as Markdown.
 */
import type {
  BenchResult,
  BenchRow,
  Spread,
  TargetCheck,
} from "./bench_result.ts";

/** Renders one table of targets and one of rows. */
export function renderPolicyReport(result: BenchResult): string {
  const title = `## ${result.name}, ${result.seeds} seeds`;
  const sections = [
    title,
    renderTargets(result.targets),
    renderRows(result.rows),
  ];
  return `${sections.join("\n\n")}\n`;
}

function renderTargets(targets: readonly TargetCheck[]): string {
  const lines = targets.map((each) => {
    const sign = each.isUpperBound ? "≤" : "≥";
    const cells = [
      each.scenario,
      String(each.load),
      each.target,
      `${sign} ${each.bound}`,
      formatSpread(each.value),
      each.met ? "met" : "missed",
      each.note ?? "",
    ];
    return formatLine(cells);
  });
  const head = [
    "scenario",
    "load",
    "target",
    "bound",
    "mean (low–high)",
    "result",
    "note",
  ];
  return [formatLine(head), formatRule(head.length), ...lines].join("\n");
}

function renderRows(rows: readonly BenchRow[]): string {
  const lines = rows.map((row) =>
    formatLine([
      row.scenario,
      String(row.load),
      row.measure,
      row.policy,
      `${formatSpread(row.value)} ${formatUnit(row.unit)}`.trim(),
      row.ratio === undefined ? "" : formatSpread(row.ratio),
    ])
  );
  const head = [
    "scenario",
    "load",
    "measure",
    "policy",
    "mean (low–high)",
    "camphorlock over it",
  ];
  return [formatLine(head), formatRule(head.length), ...lines].join("\n");
}

function formatUnit(unit: BenchRow["unit"]): string {
  return unit === "ms" || unit === "MB" ? unit : "";
}

function formatSpread({ mean, low, high }: Spread): string {
  return `${formatNumber(mean)} (${formatNumber(low)}–${formatNumber(high)})`;
}

function formatNumber(value: number): string {
  if (Math.abs(value) >= 100) return value.toFixed(0);
  return value.toFixed(Math.abs(value) >= 10 ? 1 : 2);
}

function formatLine(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}

function formatRule(columns: number): string {
  return formatLine(Array.from({ length: columns }, () => "---"));
}

/**
 * Renders tables for operators, as text for people and as JSON for programs.
 */
import type { Statement } from "@camphorlock/scheduler";
import { checkNever } from "@camphorlock/types";
import { formatMoney } from "./amount_format.ts";
import type { Table } from "./run_query.ts";
import type { Cell, Column, ColumnType, Row } from "./tables.ts";

const COLUMN_GAP = "  ";

/** Renders a table as text: aligned columns, with numbers to the right. */
export function renderTable(table: Table): string {
  const { columns } = table;
  const texts = table.rows.map((row) => renderCells(columns, row));
  const head = columns.map((column) => column.name);
  const widths = columns.map((_, index) => {
    return Math.max(...[head, ...texts].map((row) => row[index]?.length ?? 0));
  });
  const lines = [head, ...texts].map((row) => {
    const cells = row.map((text, index) => {
      const type = columns[index]?.type ?? "text";
      return formatCell(text, { type, width: widths[index] ?? 0 });
    });
    return cells.join(COLUMN_GAP).trimEnd();
  });
  const count = texts.length === 1 ? "1 row" : `${texts.length} rows`;
  const cut = table.cut ? ", more were cut by the limit" : "";
  return [...lines, `${count}${cut}`].join("\n");
}

/** Renders a table as JSON; money stays in micros. */
export function renderTableJson(table: Table): string {
  const { columns, rows, cut } = table;
  return JSON.stringify({ columns, rows, cut });
}

/** Renders a partner's statement as text. */
export function renderStatement(statement: Statement): string {
  const { partner, from, to, chargedMicros, payableMicros } = statement;
  const table = renderTable(buildStatementTable(statement));
  const split = statement.split.map((part) => {
    return `${part.partner} ${formatMoney(part.micros)}`;
  });
  return [
    `statement of ${partner} from ${from} to ${to}`,
    table,
    `${partner} pays ${formatMoney(payableMicros)}`,
    `of ${formatMoney(chargedMicros)} charged: ${split.join(", ")}`,
  ].join("\n");
}

/** Builds the table of a statement. */
export function buildStatementTable(statement: Statement): Table {
  const columns: readonly Column[] = [
    { name: "ran_by", type: "text" },
    { name: "team", type: "text" },
    { name: "costs", type: "text" },
    { name: "agreement", type: "number" },
    { name: "calls", type: "number" },
    { name: "charged", type: "money" },
    { name: "payable", type: "money" },
  ];
  const rows = statement.rows.map((row) => ({
    ran_by: row.ranBy,
    team: row.team,
    costs: row.costClass,
    agreement: row.agreementRevision,
    calls: row.calls,
    charged: row.chargedMicros,
    payable: row.payableMicros,
  }));
  return { columns, rows, cut: false };
}

function renderCells(columns: readonly Column[], row: Row): readonly string[] {
  return columns.map(({ name, type }) => renderCell(row[name], type));
}

function renderCell(cell: Cell, type: ColumnType): string {
  if (cell === undefined) return "";
  switch (type) {
    case "money":
      return typeof cell === "number" ? formatMoney(cell) : String(cell);
    case "time":
      return typeof cell === "number"
        ? new Date(cell).toISOString()
        : String(cell);
    case "flag":
      return cell === true ? "yes" : "no";
    case "text":
    case "number":
      return String(cell);
    default:
      return checkNever(type);
  }
}

function formatCell(
  text: string,
  options: { readonly type: ColumnType; readonly width: number },
): string {
  const { type, width } = options;
  const isNumber = type === "number" || type === "money";
  return isNumber ? text.padStart(width) : text.padEnd(width);
}

/**
 * Filters, orders and limits rows.
 *
 * The result of a query on rows that are themselves results of the query is
 * the same as on all rows: each node runs it on its own rows, and the node
 * that was asked runs it once more on what they returned.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { formatUnknown } from "@camphorlock/scheduler";
import {
  checkNever,
  type Filter,
  type FilterOperator,
  type ShowCommand,
} from "@camphorlock/types";
import { err, ok, Result } from "neverthrow";
import { parseMoney } from "./amounts_text.ts";
import { type Cell, type Column, type Row, TABLES } from "./tables.ts";

/** Most rows that a query without a limit gives. */
export const DEFAULT_ROW_LIMIT = 1_000;

/** The rows that answer a query. */
export interface Table {
  readonly columns: readonly Column[];
  readonly rows: readonly Row[];
  /** Whether rows were left out because of the limit. */
  readonly cut: boolean;
}

type RowTest = (row: Row) => boolean;
type RowOrder = (left: Row, right: Row) => number;

/** Checks a query without running it. Fails with `QueryInvalid`. */
export function checkQuery(command: ShowCommand): Result<void, Failure> {
  return runQuery(command, []).map(() => undefined);
}

/** Runs a query on rows. Fails with `QueryInvalid`. */
export function runQuery(
  command: ShowCommand,
  rows: readonly Row[],
): Result<Table, Failure> {
  const columns = TABLES[command.subject];
  const limit = command.limit ?? DEFAULT_ROW_LIMIT;
  return Result.combine([
    buildTests(command, columns),
    buildOrders(command, columns),
  ]).map(([tests, orders]) => {
    const chosen = rows.filter((row) => tests.every((test) => test(row)));
    const sorted = sortRows(chosen, [...orders, buildTieOrder(columns)]);
    const cut = sorted.length > limit;
    return { columns, rows: sorted.slice(0, limit), cut };
  });
}

function buildTests(
  command: ShowCommand,
  columns: readonly Column[],
): Result<readonly RowTest[], Failure> {
  return Result.combine(command.filters.map((filter) => {
    return findColumn(columns, filter.column)
      .andThen((column) => buildTest(filter, column));
  }));
}

function buildOrders(
  command: ShowCommand,
  columns: readonly Column[],
): Result<readonly RowOrder[], Failure> {
  return Result.combine(command.orderBy.map(({ column: name, descending }) => {
    return findColumn(columns, name).map((column): RowOrder => {
      const sign = descending ? -1 : 1;
      return (left, right) =>
        sign * compareCells(left[column.name], right[column.name]);
    });
  }));
}

function findColumn(
  columns: readonly Column[],
  name: string,
): Result<Column, Failure> {
  const wanted = name.toLowerCase();
  const column = columns.find((each) => each.name === wanted);
  if (column !== undefined) return ok(column);
  const known = columns.map((each) => each.name);
  const detail = formatUnknown("column", { name, known });
  return err(createFailure("QueryInvalid", detail));
}

function buildTest(filter: Filter, column: Column): Result<RowTest, Failure> {
  return parseCell(column, filter.value).map((value) => (row) => {
    const cell = row[column.name];
    if (cell === undefined) return filter.operator === "!=";
    return isTrue(filter.operator, compareCells(cell, value));
  });
}

function parseCell(column: Column, text: string): Result<Cell, Failure> {
  switch (column.type) {
    case "text":
      return ok(text);
    case "number":
      return checkCell(Number(text), { column, text });
    case "money":
      return checkCell(parseMoney(text) ?? NaN, { column, text });
    case "time":
      return checkCell(Date.parse(text), { column, text });
    case "flag":
      return parseFlag(column, text);
    default:
      return checkNever(column.type);
  }
}

function checkCell(
  value: number,
  source: { readonly column: Column; readonly text: string },
): Result<Cell, Failure> {
  if (!Number.isNaN(value)) return ok(value);
  const { column, text } = source;
  const detail = `${column.name} is a ${column.type}, not ${text}`;
  return err(createFailure("QueryInvalid", detail));
}

function parseFlag(column: Column, text: string): Result<Cell, Failure> {
  switch (text.toLowerCase()) {
    case "yes":
    case "true":
      return ok(true);
    case "no":
    case "false":
      return ok(false);
    default: {
      const detail = `${column.name} is yes or no, not ${text}`;
      return err(createFailure("QueryInvalid", detail));
    }
  }
}

function isTrue(operator: FilterOperator, order: number): boolean {
  switch (operator) {
    case "=":
      return order === 0;
    case "!=":
      return order !== 0;
    case "<":
      return order < 0;
    case "<=":
      return order <= 0;
    case ">":
      return order > 0;
    case ">=":
      return order >= 0;
    default:
      return checkNever(operator);
  }
}

function sortRows(
  rows: readonly Row[],
  orders: readonly RowOrder[],
): readonly Row[] {
  return [...rows].sort((left, right) => {
    for (const order of orders) {
      const difference = order(left, right);
      if (difference !== 0) return difference;
    }
    return 0;
  });
}

/** Orders rows that are otherwise equal alike on every node. */
function buildTieOrder(columns: readonly Column[]): RowOrder {
  return (left, right) => {
    for (const { name } of columns) {
      const difference = compareCells(left[name], right[name]);
      if (difference !== 0) return difference;
    }
    return 0;
  };
}

/** Absent values come first. */
function compareCells(left: Cell, right: Cell): number {
  if (left === right) return 0;
  if (left === undefined) return -1;
  if (right === undefined) return 1;
  return left < right ? -1 : 1;
}

/**
 * Runs queries: filters, sorts and limits rows.
 *
 * Running a query on the combined results of the same query gives the same
 * result as running it on all rows. Each node therefore runs the query on its
 * own rows, and the node that received it runs it again on all results.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { formatUnknownName } from "@camphorlock/scheduler";
import {
  checkNever,
  type Filter,
  type FilterOperator,
  type ShowCommand,
} from "@camphorlock/types";
import { err, ok, Result } from "neverthrow";
import { parseMoney } from "./amount_format.ts";
import { type Cell, type Column, type Row, TABLES } from "./tables.ts";

/** Largest number of rows of a query without a limit. */
export const DEFAULT_ROW_LIMIT = 1_000;

/** The result of a query. */
export interface Table {
  readonly columns: readonly Column[];
  readonly rows: readonly Row[];
  /** Whether rows were omitted because of the limit. */
  readonly cut: boolean;
}

type RowPredicate = (row: Row) => boolean;
type RowComparator = (left: Row, right: Row) => number;

/** Checks the columns and values of a query. Fails with `QueryInvalid`. */
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
    buildPredicates(command, columns),
    buildComparators(command, columns),
  ]).map(([predicates, comparators]) => {
    const matching = rows.filter((row) =>
      predicates.every((predicate) => predicate(row))
    );
    const sorted = sortRows(matching, [
      ...comparators,
      buildTieBreaker(columns),
    ]);
    const cut = sorted.length > limit;
    return { columns, rows: sorted.slice(0, limit), cut };
  });
}

function buildPredicates(
  command: ShowCommand,
  columns: readonly Column[],
): Result<readonly RowPredicate[], Failure> {
  return Result.combine(command.filters.map((filter) => {
    return findColumn(columns, filter.column)
      .andThen((column) => buildPredicate(filter, column));
  }));
}

function buildComparators(
  command: ShowCommand,
  columns: readonly Column[],
): Result<readonly RowComparator[], Failure> {
  return Result.combine(command.orderBy.map(({ column: name, descending }) => {
    return findColumn(columns, name).map((column): RowComparator => {
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
  const lowerName = name.toLowerCase();
  const column = columns.find((each) => each.name === lowerName);
  if (column !== undefined) return ok(column);
  const known = columns.map((each) => each.name);
  const detail = formatUnknownName("column", { name, known });
  return err(createFailure("QueryInvalid", detail));
}

function buildPredicate(
  filter: Filter,
  column: Column,
): Result<RowPredicate, Failure> {
  return parseCell(column, filter.value).map((value) => (row) => {
    const cell = row[column.name];
    if (cell === undefined) return filter.operator === "!=";
    return isMatch(filter.operator, compareCells(cell, value));
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
  const detail = `${column.name} is of type ${column.type}, not ${text}`;
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

function isMatch(operator: FilterOperator, comparison: number): boolean {
  switch (operator) {
    case "=":
      return comparison === 0;
    case "!=":
      return comparison !== 0;
    case "<":
      return comparison < 0;
    case "<=":
      return comparison <= 0;
    case ">":
      return comparison > 0;
    case ">=":
      return comparison >= 0;
    default:
      return checkNever(operator);
  }
}

function sortRows(
  rows: readonly Row[],
  comparators: readonly RowComparator[],
): readonly Row[] {
  return [...rows].sort((left, right) => {
    for (const compare of comparators) {
      const difference = compare(left, right);
      if (difference !== 0) return difference;
    }
    return 0;
  });
}

/** Breaks ties by all columns, so that every node sorts equal rows alike. */
function buildTieBreaker(columns: readonly Column[]): RowComparator {
  return (left, right) => {
    for (const { name } of columns) {
      const difference = compareCells(left[name], right[name]);
      if (difference !== 0) return difference;
    }
    return 0;
  };
}

/** Compares two cells. Absent values sort first. */
function compareCells(left: Cell, right: Cell): number {
  if (left === right) return 0;
  if (left === undefined) return -1;
  if (right === undefined) return 1;
  return left < right ? -1 : 1;
}

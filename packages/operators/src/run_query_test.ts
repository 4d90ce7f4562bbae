/**
 * Tests of queries and of how their results are printed.
 */
import type { ShowCommand } from "@camphorlock/types";
import { expect } from "chai";
import { formatMoney, parseMoney } from "./amount_format.ts";
import { parseStatement } from "./parse_statement.ts";
import { renderTable, renderTableJson } from "./render_table.ts";
import { checkQuery, runQuery, type Table } from "./run_query.ts";
import type { Row } from "./tables.ts";

const ROWS: readonly Row[] = [
  { program: "p1", partner: "zincir", state: "open", spent: 2_500_000 },
  { program: "p2", partner: "okonkwo", state: "open", spent: 40 },
  { program: "p3", partner: "zincir", state: "ended", spent: 9_000_000 },
  { program: "p4", partner: "zincir", state: "open", spent: 10_250_000 },
  { program: "p5", partner: "zincir", state: "open" },
];

function parse(text: string): ShowCommand {
  const command = parseStatement(text)._unsafeUnwrap();
  if (command.kind !== "show") throw new Error(`${text} isn't a query`);
  return command;
}

function run(text: string, rows = ROWS): Table {
  return runQuery(parse(text), rows)._unsafeUnwrap();
}

function listNames(table: Table): unknown {
  return table.rows.map((row) => row.program);
}

describe("runQuery", () => {
  it("filters by type, sorts and limits", () => {
    const text = "show programs where partner = zincir and spent > 2.00 " +
      "order by spent desc limit 2";
    const table = run(text);
    expect(listNames(table)).to.deep.equal(["p4", "p3"]);
    expect(table.cut).to.equal(true);
    expect(listNames(run("show programs where state != ended and spent < 5")))
      .to.deep.equal(["p1", "p2"]);
  });

  it("gives the same result on combined results as on all rows", () => {
    const text = "show programs where state = open order by spent desc limit 2";
    const parts = [ROWS.slice(0, 2), ROWS.slice(2)].map((rows) => {
      return run(text, rows).rows;
    });
    expect(run(text, parts.flat()).rows).to.deep.equal(run(text).rows);
  });

  it("rejects unknown columns and values of another type", () => {
    const check = (text: string): string => {
      return checkQuery(parse(text))._unsafeUnwrapErr().detail;
    };
    expect(check("show programs order by spend")).to.contain(
      "did you mean spent?",
    );
    expect(check("show programs where spent > much")).to.contain(
      "is of type money",
    );
    expect(check("show nodes where ready = perhaps")).to.contain("yes or no");
  });

  it("renders tables as text and as JSON", () => {
    const table = run("show programs where spent >= 2 order by spent");
    const { columns } = table;
    const fewColumns = columns.filter(({ name }) => {
      return name === "program" || name === "spent";
    });
    expect(renderTable({ ...table, columns: fewColumns })).to.equal(
      "program  spent\np1        2.50\np3        9.00\np4       10.25\n3 rows",
    );
    expect(JSON.parse(renderTableJson(table)).rows[0].spent).to.equal(
      2_500_000,
    );
  });

  it("parses and formats money exactly", () => {
    for (const text of ["0.00", "250.00", "-1.05", "0.000001", "12.345"]) {
      expect(formatMoney(parseMoney(text) ?? NaN)).to.equal(text);
    }
    expect(parseMoney("1e3")).to.equal(undefined);
    expect(parseMoney("99999999999999")).to.equal(undefined);
  });
});

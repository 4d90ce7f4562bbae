/**
 * Tests of the operator language's parser and of its error messages.
 */
import { expect } from "chai";
import { parseStatement } from "./parse_statement.ts";

function parse(text: string): unknown {
  const parsed = parseStatement(text);
  return parsed.isOk() ? parsed.value : parsed.error.detail;
}

describe("parseStatement", () => {
  it("parses queries with filters, ordering, limit and revision", () => {
    const text = "show programs where partner = zincir and spent >= 2.50 " +
      "order by spent desc, program limit 10 as of revision 12";
    expect(parse(text)).to.deep.equal({
      kind: "show",
      subject: "programs",
      filters: [
        { column: "partner", operator: "=", value: "zincir" },
        { column: "spent", operator: ">=", value: "2.50" },
      ],
      orderBy: [
        { column: "spent", descending: true },
        { column: "program", descending: false },
      ],
      limit: 10,
      asOf: 12,
    });
  });

  it("parses changes with the revision they're meant for", () => {
    expect(parse("set budget team designers to 250.00 if revision 41"))
      .to.deep.equal({
        kind: "change",
        change: {
          kind: "set_budget",
          budget: "team",
          name: "designers",
          limitMicros: 250_000_000,
        },
        ifRevision: 41,
      });
    expect(parse("split costs of shared work zincir 54.5%, okonkwo 45.5%"))
      .to.deep.equal({
        kind: "change",
        change: {
          kind: "split_costs",
          costClass: "shared",
          shares: [
            { partner: "zincir", sharePpm: 545_000 },
            { partner: "okonkwo", sharePpm: 455_000 },
          ],
        },
      });
  });

  it("accepts keywords and quoted text as names", () => {
    expect(parse('drain target "engine 3"')).to.deep.include({
      change: {
        kind: "drain_target",
        targetId: "engine 3",
        draining: true,
      },
    });
    expect(parse("drain vm region off")).to.deep.include({
      change: { kind: "drain_vm", vmId: "region", draining: false },
    });
  });

  it("names position, found text, expected texts and the nearest word", () => {
    expect(parse("show programs\nwher state = open")).to.equal(
      "line 2, column 1: found wher, expected one of where, order, limit, " +
        "as; did you mean where?",
    );
    expect(parse("set budget partner okonko to 5")).to.equal(
      "line 1, column 20: found okonko, expected one of zincir, okonkwo; " +
        "did you mean okonkwo?",
    );
    expect(parse("set budget program to")).to.equal(
      "line 1, column 22: found the end of the statement, expected a number",
    );
    expect(parse("show nodes ; x")).to.contain('column 12: found ";"');
  });

  it("rejects invalid amounts, dates and numbers", () => {
    expect(parse("set budget program to 1.1234567")).to.contain(
      "column 23: found 1.1234567, expected an amount",
    );
    expect(parse("show statement zincir from 2026-02-30 to 2026-03-01"))
      .to.contain("expected a date of the calendar");
    expect(parse("show nodes limit -1")).to.contain("a whole number from 0");
    expect(parse("show nodes ".padEnd(5_000, "x"))).to.contain("at most");
  });
});

/**
 * Parses every example of docs/OPERATOR_LANGUAGE.md.
 */
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { parseStatement } from "./parse_statement.ts";
import { checkQuery } from "./run_query.ts";

const PAGE = new URL("../../../docs/OPERATOR_LANGUAGE.md", import.meta.url);

function listExamples(): readonly string[] {
  const text = readFileSync(PAGE, "utf8");
  const blocks = text.matchAll(/```operate\n(.*?)```/gs);
  return [...blocks].flatMap((block) => {
    return (block[1] ?? "").split("\n").filter((line) => line !== "");
  });
}

describe("docs/OPERATOR_LANGUAGE.md", () => {
  it("has only examples that parse", () => {
    const examples = listExamples();
    expect(examples.length).to.be.greaterThan(30);
    for (const example of examples) {
      const parsed = parseStatement(example);
      expect(parsed.isOk() ? "" : parsed.error.detail, example).to.equal("");
      const command = parsed._unsafeUnwrap();
      if (command.kind !== "show") continue;
      expect(checkQuery(command).isOk(), example).to.equal(true);
    }
  });

  it("shows an error message exactly as the parser writes it", () => {
    const text = readFileSync(PAGE, "utf8");
    const [statement, message] = text.split("\n")
      .filter((line) => line.startsWith("    "))
      .map((line) => line.trim());
    const failure = parseStatement(statement ?? "")._unsafeUnwrapErr();
    expect(failure.detail).to.equal(message);
  });
});

import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { VERBS } from "./verbs.ts";

const FIXTURES = "tools/lint/fixtures";

/** Lints one fixture and returns the linter's output. */
function lintFixture(file: string): string {
  const options = ["lint", "--config", "tools/lint/fixtures/deno.json"];
  const result = spawnSync("npx", ["deno", ...options, `${FIXTURES}/${file}`], {
    encoding: "utf8",
    env: { ...process.env, NO_COLOR: "1", DENO_NO_UPDATE_CHECK: "1" },
  });
  return result.stderr + result.stdout;
}

describe("the lint plugin", () => {
  it("reports names that don't begin with a listed verb", () => {
    const output = lintFixture("bad_names.ts");
    for (const name of ["schedulerThing", "doIt", "frobnicate"]) {
      expect(output).to.include(`${name} doesn't begin with a verb`);
    }
    expect(output).not.to.include("start doesn't begin");
  });

  it("reports imports against the direction of the packages", () => {
    const output = lintFixture("packages/scheduler/src/bad_import.ts");
    expect(output).to.include("this package may not import undici");
    expect(output).to.include("this package may not import ../../codes");
  });

  it("reports names of the users' platform outside its adapter", () => {
    expect(lintFixture("packages/scheduler/src/bad_platform_name.ts"))
      .to.include("X-Attempt-Id may only be used in platform/");
  });

  it("reports a missing module comment, a banner, and too many lines", () => {
    expect(lintFixture("bad_head.ts")).to.include("module-head");
    expect(lintFixture("bad_banner.ts")).to.include("no-banner");
    expect(lintFixture("bad_length.ts")).to.include("file-length");
  });

  it("allows exactly the verbs that the docs list", () => {
    const page = readFileSync("docs/VERBS.md", "utf8");
    const listed = page.split("\n")
      .filter((line) => line.startsWith("| `"))
      .flatMap((line) => line.split("|")[1]?.match(/[a-z]+/g) ?? []);
    expect([...VERBS].sort()).to.deep.equal(listed.sort());
  });
});

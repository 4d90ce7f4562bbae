import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { VERBS } from "./verbs.ts";

const FIXTURES = "tools/lint/fixtures";

/** Lints one fixture and returns what the linter printed. */
function runLint(file: string): string {
  const options = ["lint", "--config", "tools/lint/fixtures/deno.json"];
  const ran = spawnSync("npx", ["deno", ...options, `${FIXTURES}/${file}`], {
    encoding: "utf8",
    env: { ...process.env, NO_COLOR: "1", DENO_NO_UPDATE_CHECK: "1" },
  });
  return ran.stderr + ran.stdout;
}

describe("the lint plugin", () => {
  it("reports names without a listed verb", () => {
    const printed = runLint("bad_names.ts");
    for (const name of ["schedulerThing", "doIt", "frobnicate"]) {
      expect(printed).to.include(`${name} begins with no verb`);
    }
    expect(printed).not.to.include("start begins");
  });

  it("reports imports against the direction of the packages", () => {
    const printed = runLint("packages/scheduler/src/bad_import.ts");
    expect(printed).to.include("this package may not import undici");
    expect(printed).to.include("this package may not import ../../codes");
  });

  it("reports names of the users' platform outside its adapter", () => {
    expect(runLint("packages/scheduler/src/bad_platform_name.ts"))
      .to.include("X-Attempt-Id is known to platform/ alone");
  });

  it("reports modules without a head, with a banner, or too long", () => {
    expect(runLint("bad_head.ts")).to.include("module-head");
    expect(runLint("bad_banner.ts")).to.include("no-banner");
    expect(runLint("bad_length.ts")).to.include("file-length");
  });

  it("knows the verbs that the docs list", () => {
    const page = readFileSync("docs/VERBS.md", "utf8");
    const listed = page.split("\n")
      .filter((line) => line.startsWith("| `"))
      .flatMap((line) => line.split("|")[1]?.match(/[a-z]+/g) ?? []);
    expect([...VERBS].sort()).to.deep.equal(listed.sort());
  });
});

import { expect } from "chai";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { loadScenario } from "./load_scenario.ts";
import { runScenario } from "./run_scenario.ts";

const FOLDER = fileURLToPath(new URL("../../scenarios/", import.meta.url));

describe("the scenario", () => {
  for (const file of readdirSync(FOLDER).sort()) {
    it(file, () => {
      const scenario = loadScenario(join(FOLDER, file))._unsafeUnwrap();
      expect(runScenario(scenario).problems).to.deep.equal([]);
    });
  }
});

describe("scenario files", () => {
  it("are rejected with every error and its key", () => {
    const folder = mkdtempSync(join(tmpdir(), "scenario-"));
    const file = join(folder, "bad.toml");
    writeFileSync(
      file,
      'name = "x"\nabout = "y"\n[[faults]]\nkind = "kill_node"\nat_ms = -1\n',
    );
    const { detail } = loadScenario(file)._unsafeUnwrapErr();
    rmSync(folder, { recursive: true });
    expect(detail).to.include("faults.0.at_ms");
    expect(detail).to.include("faults.0.vm");
  });

  it("report violated expectations", () => {
    const scenario = loadScenario(join(FOLDER, "service_breaking.toml"))
      ._unsafeUnwrap();
    const strict = { ...scenario.expect, graceful: true };
    const { problems } = runScenario({ ...scenario, expect: strict });
    expect(problems.join()).to.include("calls didn't complete");
  });
});

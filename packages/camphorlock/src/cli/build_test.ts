import { expect } from "chai";
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";

const FOLDER = "packages/camphorlock";

describe("the built command", () => {
  it("is the file that the package's bin names, and runs", () => {
    const built = spawnSync("node", ["tools/build_command.mjs"], {
      encoding: "utf8",
    });
    expect(built.stderr).to.equal("");
    const { bin, version } = JSON.parse(
      readFileSync(`${FOLDER}/package.json`, "utf8"),
    );
    const ran = spawnSync("node", [`${FOLDER}/${bin.camphorlock}`, "version"], {
      encoding: "utf8",
    });
    expect(ran.stdout.trim()).to.equal(version);
  });
});

import { spawnSync } from "node:child_process";
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";

describe("the installation of the packages", () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "install-"));
    // Stands for npm; prints that it was called.
    mkdirSync(join(folder, "bin"));
    writeFileSync(join(folder, "bin/npm"), "#!/bin/sh\necho installed\n", {
      mode: 0o755,
    });
    writeFileSync(join(folder, "package-lock.json"), "{}");
    copyFileSync("tools/install.mjs", join(folder, "install.mjs"));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function runInstall(machine: string): string {
    mkdirSync(join(folder, "node_modules/@esbuild", machine), {
      recursive: true,
    });
    writeFileSync(join(folder, "node_modules/.package-lock.json"), "{}");
    const { stdout } = spawnSync(process.execPath, ["install.mjs"], {
      cwd: folder,
      env: { PATH: `${join(folder, "bin")}:${process.env.PATH}` },
    });
    return stdout.toString();
  }

  // The build failed with packages that were carried over from another machine.
  it("is repeated where it was made for another kind of machine", () => {
    expect(runInstall("linux-other")).to.equal("installed\n");
  });

  it("isn't repeated otherwise", () => {
    expect(runInstall(`${process.platform}-${process.arch}`)).to.equal("");
  });
});

// Installs the workspace's packages when they are missing or older than the
// lock file, or were installed for another kind of machine, so that `npm test`
// and `npm run quickstart` need no other step.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const INSTALLED_LOCK_FILE = "node_modules/.package-lock.json";
const LOCK_FILE = "package-lock.json";
// Installed for one kind of machine only.
const MACHINE_PACKAGE =
  `node_modules/@esbuild/${process.platform}-${process.arch}`;

function isInstalled() {
  if (!existsSync(INSTALLED_LOCK_FILE)) return false;
  if (!existsSync(MACHINE_PACKAGE)) return false;
  return statSync(INSTALLED_LOCK_FILE).mtimeMs >= statSync(LOCK_FILE).mtimeMs;
}

if (!isInstalled()) {
  const install = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(install.status ?? 1);
}

// Installs the workspace's packages when they are missing or older than the
// lock file, so that `npm test` and `npm run quickstart` need no other step.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const INSTALLED_LOCK_FILE = "node_modules/.package-lock.json";
const LOCK_FILE = "package-lock.json";

function isInstalled() {
  if (!existsSync(INSTALLED_LOCK_FILE)) return false;
  return statSync(INSTALLED_LOCK_FILE).mtimeMs >= statSync(LOCK_FILE).mtimeMs;
}

if (!isInstalled()) {
  const install = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: "inherit",
  });
  process.exit(install.status ?? 1);
}

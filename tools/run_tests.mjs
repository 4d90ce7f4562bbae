// Runs all tests. Failures that KNOWN-RED.txt lists are printed and ignored;
// any other failure fails the run.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";

const REPORT = "out/tests.json";
const KNOWN_RED = "KNOWN-RED.txt";
const TITLE_PREFIX = "test: ";

function listKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, "utf8").split("\n")
    .filter((line) => line.startsWith(TITLE_PREFIX))
    .map((line) => line.slice(TITLE_PREFIX.length).trim());
}

mkdirSync("out", { recursive: true });
// Without this, the report of an earlier run could be read as this run's.
rmSync(REPORT, { force: true });
const options = ["--reporter", "json", "--reporter-option", `output=${REPORT}`];
const run = spawnSync("npx", ["mocha", ...options], {
  stdio: ["ignore", "ignore", "inherit"],
  env: { ...process.env, NODE_OPTIONS: "--import tsx" },
});
if (!existsSync(REPORT)) {
  console.log("mocha exited before it wrote its report");
  process.exit(1);
}
const { stats, failures } = JSON.parse(readFileSync(REPORT, "utf8"));
const known = listKnownRed();
const unlisted = failures.filter(({ fullTitle }) => !known.includes(fullTitle));
for (const { fullTitle, err } of failures) {
  const isKnown = known.includes(fullTitle);
  console.log(`${isKnown ? "known red" : "FAILED"}: ${fullTitle}`);
  console.log(err.stack ?? err.message);
}
console.log(`${stats.passes} passed, ${failures.length} failed`);
const isComplete = run.status === failures.length || run.status === 0;
const isGreen = stats.passes > 0 && unlisted.length === 0 && isComplete;
process.exit(isGreen ? 0 : 1);

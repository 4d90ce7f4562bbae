// Runs every test. A failure that KNOWN-RED.txt lists is printed and passed
// over; any other fails the run.
import { spawnSync } from "node:child_process";
import { existsSync, mkdirSync, readFileSync, rmSync } from "node:fs";

const REPORT = "out/tests.json";
const KNOWN_RED = "KNOWN-RED.txt";
const TITLE_MARK = "test: ";

function listKnownRed() {
  if (!existsSync(KNOWN_RED)) return [];
  return readFileSync(KNOWN_RED, "utf8").split("\n")
    .filter((line) => line.startsWith(TITLE_MARK))
    .map((line) => line.slice(TITLE_MARK.length).trim());
}

mkdirSync("out", { recursive: true });
// A report of an earlier run must not stand for this one.
rmSync(REPORT, { force: true });
const options = ["--reporter", "json", "--reporter-option", `output=${REPORT}`];
const ran = spawnSync("npx", ["mocha", ...options], {
  stdio: ["ignore", "ignore", "inherit"],
  env: { ...process.env, NODE_OPTIONS: "--import tsx" },
});
if (!existsSync(REPORT)) {
  console.log("the tests didn't run to their end");
  process.exit(1);
}
const { stats, failures } = JSON.parse(readFileSync(REPORT, "utf8"));
const known = listKnownRed();
const unknown = failures.filter(({ fullTitle }) => !known.includes(fullTitle));
for (const { fullTitle, err } of failures) {
  const isKnown = known.includes(fullTitle);
  console.log(`${isKnown ? "known red" : "FAILED"}: ${fullTitle}`);
  console.log(err.stack ?? err.message);
}
console.log(`${stats.passes} passed, ${failures.length} failed`);
const isEnded = ran.status === failures.length || ran.status === 0;
const isGreen = stats.passes > 0 && unknown.length === 0 && isEnded;
process.exit(isGreen ? 0 : 1);

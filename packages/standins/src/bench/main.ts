/**
 * Runs policy benches from the command line.
 */
import { Command, InvalidArgumentError } from "commander";
import { DECISION_SIZES, runDecisionBench } from "./policy/decision_bench.ts";
import { renderDecisionReport } from "./policy/decision_report.ts";
import { renderPolicyReport } from "./policy/render_report.ts";
import {
  DEFAULT_LOADS,
  POLICY_BENCHES,
  runPolicyBench,
} from "./policy/run_policy_bench.ts";

const DEFAULT_SEEDS = 10;
const FAILED = 1;

interface Flags {
  readonly seeds: number;
  readonly loads: readonly number[];
  readonly policies?: readonly string[];
  readonly json?: boolean;
}

const program = new Command("bench")
  .description("compares the policy with its baselines in virtual time")
  .argument("<name>", `decision, all, or ${POLICY_BENCHES.join(", ")}`)
  .option(
    "--seeds <count>",
    "number of seeds to run",
    parseCount,
    DEFAULT_SEEDS,
  )
  .option("--loads <list>", "loads relative to capacity", parseLoads, [
    ...DEFAULT_LOADS,
  ])
  .option("--policies <list>", "names of the policies to run", parseNames)
  .option("--json", "print the typed result instead of Markdown")
  .action((name: string, flags: Flags) => {
    if (name === "decision") return printDecision(flags);
    const names = name === "all" ? POLICY_BENCHES : [name];
    for (const each of names) printBench(each, flags);
  });

program.parse();

function printBench(name: string, flags: Flags): void {
  const { seeds, loads, policies } = flags;
  const onProgress = (message: string): void => console.error(message);
  runPolicyBench({
    name,
    seeds,
    loads,
    onProgress,
    ...(policies === undefined ? {} : { policies }),
  }).match(
    (result) => {
      const text = flags.json === true
        ? JSON.stringify(result)
        : renderPolicyReport(result);
      console.log(text);
    },
    (failure) => {
      console.error(`${failure.name}: ${failure.detail}`);
      process.exitCode = FAILED;
    },
  );
}

function printDecision(flags: Flags): void {
  const points = runDecisionBench(DECISION_SIZES);
  const text = flags.json === true
    ? JSON.stringify(points)
    : renderDecisionReport(points);
  console.log(text);
}

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError("must be a positive integer");
}

function parseLoads(text: string): number[] {
  const loads = text.split(",").map(Number);
  if (loads.every((each) => each > 0)) return loads;
  throw new InvalidArgumentError(
    "must be positive numbers, separated by commas",
  );
}

function parseNames(text: string): string[] {
  return text.split(",");
}

/**
 * `camphorlock bench`: measures the policies against their baselines, and what
 * each role costs.
 */
import {
  CAPACITY_PARTS,
  POLICY_BENCHES,
  renderCapacity,
  renderPolicyReport,
  runCapacityPart,
  runPolicyBench,
} from "@camphorlock/standins";
import type { Command } from "commander";
import { EXIT_CODES, printFailure } from "../exit_codes.ts";

const DEFAULT_SEEDS = "10";
const DEFAULT_LOADS = "0.5,0.8,0.95,1.3";

interface BenchOptions {
  readonly seeds: string;
  readonly loads: string;
  readonly json?: boolean;
}

/** Defines the command. */
export function defineBench(program: Command): void {
  program.command("bench")
    .description("measures policies or the cost of roles")
    .argument(
      "<name>",
      `all, capacity, ${[...POLICY_BENCHES, ...CAPACITY_PARTS].join(", ")}`,
    )
    .option("--seeds <count>", "seeds of a policy bench", DEFAULT_SEEDS)
    .option("--loads <list>", "loads over capacity", DEFAULT_LOADS)
    .option("--json", "prints typed results instead of Markdown")
    .action(runBench);
}

async function runBench(name: string, options: BenchOptions): Promise<void> {
  for (const policy of POLICY_BENCHES) {
    if (name === "all" || name === policy) runPolicy(policy, options);
  }
  for (const part of CAPACITY_PARTS) {
    const isAsked = name === "all" || name === "capacity" || name === part;
    if (isAsked) await runCapacity(part, options);
  }
  const known: readonly string[] = [...POLICY_BENCHES, ...CAPACITY_PARTS];
  const isKnown = name === "all" || name === "capacity" ||
    known.includes(name);
  if (!isKnown) {
    console.error(`no bench ${name}; there are ${known.join(", ")}`);
    process.exitCode = EXIT_CODES.usage;
    return;
  }
  process.exit();
}

function runPolicy(name: string, options: BenchOptions): void {
  const result = runPolicyBench({
    name,
    seeds: Number(options.seeds),
    loads: options.loads.split(",").map(Number),
    onProgress: (done) => console.error(done),
  });
  if (result.isErr()) return printFailure(result.error, "usage");
  console.log(
    options.json === true
      ? JSON.stringify(result.value)
      : renderPolicyReport(result.value),
  );
}

async function runCapacity(
  part: typeof CAPACITY_PARTS[number],
  options: BenchOptions,
): Promise<void> {
  console.error(part);
  const table = await runCapacityPart(part);
  console.log(
    options.json === true ? JSON.stringify(table) : renderCapacity(table),
  );
}

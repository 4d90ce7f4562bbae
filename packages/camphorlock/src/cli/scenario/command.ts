/**
 * `camphorlock scenario`: runs scenario files in virtual time.
 */
import { loadScenario, runScenario } from "@camphorlock/standins";
import type { Command } from "commander";
import { EXIT_CODES, printFailure } from "../exit_codes.ts";

/** Defines the command. */
export function defineScenario(program: Command): void {
  program.command("scenario")
    .description("runs scenarios (TOML) in virtual time and checks them")
    .argument("<files...>", "scenario files")
    .option("--seed <number>", "overrides the scenario's seed")
    .option("--json", "prints the results as JSON lines")
    .action((files: string[], options: ScenarioOptions) => {
      for (const file of files) runScenarioFile(file, options);
    });
}

interface ScenarioOptions {
  readonly seed?: string;
  readonly json?: boolean;
}

function runScenarioFile(file: string, options: ScenarioOptions): void {
  const scenario = loadScenario(file);
  if (scenario.isErr()) return printFailure(scenario.error, "usage");
  const seed = options.seed === undefined
    ? scenario.value.seed
    : Number(options.seed);
  const result = runScenario({ ...scenario.value, seed });
  if (result.problems.length > 0) process.exitCode = EXIT_CODES.failed;
  if (options.json === true) return console.log(JSON.stringify(result));
  const { name, calls, completed, unknown, problems } = result;
  const verdict = problems.length === 0 ? "passed" : "FAILED";
  console.log(
    `${verdict}: ${name}: ${completed} of ${calls} calls completed, ` +
      `${unknown} unknown`,
  );
  for (const problem of problems) console.log(`  ${problem}`);
  if (problems.length === 0) return;
  console.log(`  to rerun: camphorlock scenario ${file} --seed ${seed}`);
}

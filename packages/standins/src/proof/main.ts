/**
 * Runs random fault schedules and prints every violated check with its seed.
 */
import { Command } from "commander";
import { checkHistory } from "./check_history.ts";
import type { FaultEvent } from "./fault_schedule.ts";
import { runSchedule } from "./run_schedule.ts";

const program = new Command("schedules")
  .option("--from <seed>", "the first seed", "1")
  .option("--seeds <count>", "number of seeds", "100")
  .option("--events", "print the faults of each seed as JSON")
  .option("--only <fault>", "use only this kind of fault")
  .option("--until <check>", "stop when this check is violated")
  .action(runSeeds);

function runSeeds(
  options: {
    readonly from: string;
    readonly seeds: string;
    readonly events?: boolean;
    readonly until?: string;
    readonly only?: FaultEvent["kind"];
  },
): void {
  const from = Number(options.from);
  let failedSeeds = 0;
  let calls = 0;
  for (let seed = from; seed < from + Number(options.seeds); seed++) {
    const kinds = options.only === undefined ? undefined : [options.only];
    const { history, events } = runSchedule(seed, kinds);
    calls += history.calls.length;
    if (options.events === true) console.log(JSON.stringify(events));
    const violations = checkHistory(history);
    if (violations.length > 0) failedSeeds += 1;
    if (violations.some(({ check }) => check === options.until)) {
      console.log(`detected: ${options.until} at seed ${seed}`);
      return;
    }
    for (const { check, detail } of violations) {
      console.log(`seed ${seed}: ${check}: ${detail}`);
    }
  }
  console.log(`${options.seeds} seeds, ${calls} calls, ${failedSeeds} broken`);
  if (failedSeeds > 0) process.exitCode = 1;
}

await program.parseAsync();

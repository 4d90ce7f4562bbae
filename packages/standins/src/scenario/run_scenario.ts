/**
 * Runs a scenario and checks its expectations.
 */
import type { CallOutcome } from "@camphorlock/types";
import { checkHistory } from "../proof/check_history.ts";
import { runPlan } from "../proof/run_plan.ts";
import { buildPlan } from "./load_scenario.ts";
import type { Scenario } from "./schema.ts";

const PERCENT = 100;

/** The result of a scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly calls: number;
  readonly completed: number;
  readonly unknown: number;
  /** Violated checks and expectations; empty if the scenario passed. */
  readonly problems: readonly string[];
}

/** Runs a scenario in virtual time, always with the same result. */
export function runScenario(scenario: Scenario): ScenarioResult {
  const history = runPlan(buildPlan(scenario));
  const count = (status: CallOutcome["status"]): number =>
    history.calls.filter(({ outcome }) => outcome?.status === status).length;
  const calls = history.calls.length;
  const completed = count("completed");
  const unknown = count("unknown");
  const violations = checkHistory(history)
    .map(({ check, detail }) => `${check}: ${detail}`);
  const counts = { calls, completed, unknown };
  const problems = [...violations, ...checkExpected(scenario, counts)];
  return { name: scenario.name, ...counts, problems };
}

function checkExpected(
  scenario: Scenario,
  counts: {
    readonly calls: number;
    readonly completed: number;
    readonly unknown: number;
  },
): string[] {
  const { completed_percent, most_unknown, graceful } = scenario.expect;
  const { calls, completed, unknown } = counts;
  const problems: string[] = [];
  const percent = completed * PERCENT / Math.max(1, calls);
  if (percent < completed_percent) {
    problems.push(`completed ${percent.toFixed(1)}% of ${calls} calls`);
  }
  if (most_unknown !== undefined && unknown > most_unknown) {
    problems.push(`${unknown} calls have an unknown outcome`);
  }
  if (graceful && completed < calls) {
    problems.push(`${calls - completed} of ${calls} calls didn't complete`);
  }
  return problems;
}

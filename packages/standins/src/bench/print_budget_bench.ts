/**
 * Runs the bench of shared budgets and prints its result as JSON. Arguments:
 * nodes, teams, calls per second, seconds.
 */
import { runBudgetBench } from "./budget_bench.ts";

const numbers = process.argv.slice(2).map(Number);
const [nodes = 9, teams = 20, callsPerSecond = 400, seconds = 600] = numbers;
const result = runBudgetBench({
  nodes,
  teams,
  callsPerSecond,
  seconds,
  seed: 1,
});
console.log(JSON.stringify(result, null, 2));

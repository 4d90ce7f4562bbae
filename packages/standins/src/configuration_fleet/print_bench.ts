/**
 * Prints the configuration bench. Arguments: nodes, targets, changes, regions,
 * seed.
 */
import { runConfigurationBench } from "./configuration_bench.ts";

const CHANGES_PER_DAY = 11_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

const [nodes = 9, targets = 12, changes = 20, regions = 3, seed = 1] = process
  .argv.slice(2).map(Number);
const startedAt = process.cpuUsage();
const result = runConfigurationBench({
  nodes,
  targets,
  changes,
  regions,
  changesPerDay: CHANGES_PER_DAY,
  seed,
});
const cpuSeconds = process.cpuUsage(startedAt).user / MICROSECONDS_PER_SECOND;
console.log(JSON.stringify({ ...result, cpuSeconds }, null, 2));

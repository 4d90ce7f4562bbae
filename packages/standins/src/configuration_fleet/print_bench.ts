/**
 * Runs the configuration bench and prints its result. Arguments: nodes,
 * targets, changes, regions, seed, and the percentage of platform responses
 * that are lost once the fleet has started.
 */
import { runConfigurationBench } from "./configuration_bench.ts";

const CHANGES_PER_DAY = 11_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

const START_PHASE_MS = 15_000;

const numbers = process.argv.slice(2).map(Number);
const [nodes = 9, targets = 12, changes = 20, regions = 3] = numbers;
const [seed = 1, lostPercent = 0] = numbers.slice(4);
const cpuAtStart = process.cpuUsage();
const result = runConfigurationBench({
  nodes,
  targets,
  changes,
  regions,
  changesPerDay: CHANGES_PER_DAY,
  seed,
  faults: [{
    kind: "lost_answer",
    fromMs: START_PHASE_MS,
    untilMs: Infinity,
    share: lostPercent / 100,
  }],
});
const cpuSeconds = process.cpuUsage(cpuAtStart).user / MICROSECONDS_PER_SECOND;
console.log(JSON.stringify({ ...result, cpuSeconds }, null, 2));

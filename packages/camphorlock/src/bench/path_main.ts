/**
 * Runs the path benchmark and prints its results as JSON. The argument is the
 * number of calls.
 */
import { runPathBench } from "./path_bench.ts";

const calls = Number(process.argv[2] ?? "500");
const latencies = await runPathBench(calls);
console.log(JSON.stringify(latencies, undefined, 2));
process.exit(0);

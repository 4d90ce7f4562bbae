/**
 * Prints the path bench; the argument is the number of calls.
 */
import { runPathBench } from "./path_bench.ts";

const calls = Number(process.argv[2] ?? "500");
const times = await runPathBench(calls);
console.log(JSON.stringify(times, undefined, 2));
process.exit(0);

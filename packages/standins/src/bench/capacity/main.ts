/**
 * Runs parts of the capacity bench from the command line.
 */
import {
  CAPACITY_PARTS,
  type CapacityPart,
  runCapacityPart,
} from "./capacity_bench.ts";
import { renderCapacity } from "./render_capacity.ts";

const requestedParts = process.argv.slice(2);
const parts: readonly CapacityPart[] = requestedParts.length === 0
  ? CAPACITY_PARTS
  : CAPACITY_PARTS.filter((part) => requestedParts.includes(part));

for (const part of parts) {
  console.log(renderCapacity(await runCapacityPart(part)));
}
process.exit(0);

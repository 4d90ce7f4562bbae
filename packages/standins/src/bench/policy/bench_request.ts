/**
 * The input and output of one policy bench.
 */
import type { BenchRow, TargetCheck } from "./bench_result.ts";
import type { PolicySet } from "./policies.ts";

/** What to run: every policy at every load with every seed. */
export interface BenchRequest {
  readonly seeds: readonly number[];
  /** Loads relative to capacity. */
  readonly loads: readonly number[];
  readonly policies: readonly PolicySet[];
  readonly onProgress?: (message: string) => void;
}

/** Result rows and target checks of one bench. */
export interface BenchTables {
  readonly rows: readonly BenchRow[];
  readonly targets: readonly TargetCheck[];
}

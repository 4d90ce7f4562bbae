/**
 * What a bench is asked for and what it gives back.
 */
import type { BenchRow, TargetCheck } from "./bench_result.ts";
import type { PolicySet } from "./policies.ts";

/** The seeds and loads of a bench. */
export interface BenchRequest {
  readonly seeds: readonly number[];
  /** Loads relative to capacity. */
  readonly loads: readonly number[];
  readonly policies: readonly PolicySet[];
  readonly onProgress?: (done: string) => void;
}

/** Rows and targets of one bench. */
export interface BenchParts {
  readonly rows: readonly BenchRow[];
  readonly targets: readonly TargetCheck[];
}

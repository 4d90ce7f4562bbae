/**
 * Runs a policy bench by name.
 */
import { createFailure, type Failure } from "@camphorlock/codes";
import { checkNever } from "@camphorlock/types";
import { err, ok, type Result } from "neverthrow";
import type { BenchRequest, BenchTables } from "./bench_request.ts";
import type { BenchResult } from "./bench_result.ts";
import { runCrestBench } from "./crest_bench.ts";
import { runFloodBench } from "./flood_bench.ts";
import {
  runIsolationBench,
  runOkonkwoBench,
  runZincirBench,
} from "./latency_bench.ts";
import { POLICY_SETS } from "./policies.ts";
import { runSlowBench } from "./slow_bench.ts";

/** The policy benches, all in virtual time. */
export const POLICY_BENCHES = [
  "zincir",
  "okonkwo",
  "isolation",
  "crest",
  "slow",
  "flood",
] as const;

/** The name of a policy bench. */
export type PolicyBenchName = typeof POLICY_BENCHES[number];

/** The loads that are run by default. */
export const DEFAULT_LOADS: readonly number[] = [0.5, 0.8, 0.95, 1.3];

/** Which bench to run, with how many seeds and at which loads. */
export interface PolicyBenchOptions {
  readonly name: string;
  readonly seeds: number;
  readonly loads: readonly number[];
  /** Names of the policies to run; all by default. */
  readonly policies?: readonly string[];
  readonly onProgress?: (message: string) => void;
}

/** Runs a bench. Fails with `StatementInvalid` for an unknown name. */
export function runPolicyBench(
  options: PolicyBenchOptions,
): Result<BenchResult, Failure> {
  const { name, seeds, loads, onProgress } = options;
  const benchName = POLICY_BENCHES.find((each) => each === name);
  if (benchName === undefined) {
    const detail = `unknown bench ${name}; use ${POLICY_BENCHES.join(", ")}`;
    return err(createFailure("StatementInvalid", detail));
  }
  const tables = runBenchByName(benchName, {
    seeds: Array.from({ length: seeds }, (_, index) => index + 1),
    loads,
    policies: POLICY_SETS.filter((each) =>
      options.policies?.includes(each.name) ?? true
    ),
    ...(onProgress === undefined ? {} : { onProgress }),
  });
  return ok({ name, seeds, loads, ...tables });
}

function runBenchByName(
  name: PolicyBenchName,
  request: BenchRequest,
): BenchTables {
  switch (name) {
    case "zincir":
      return runZincirBench(request);
    case "okonkwo":
      return runOkonkwoBench(request);
    case "isolation":
      return runIsolationBench(request);
    case "crest":
      return runCrestBench(request);
    case "slow":
      return runSlowBench(request);
    case "flood":
      return runFloodBench(request);
    default:
      return checkNever(name);
  }
}

/**
 * The records of a run and their summary.
 */
import {
  countNewTokens,
  type PlannedProgram,
  type Workload,
} from "./workload.ts";

/** The result of one program as observed by its caller. */
export interface ProgramRecord {
  readonly program: PlannedProgram;
  /** When the caller last sent the program, after any refusals. */
  readonly sentAtMs: number;
  /** Undefined when the program was still running at the end of the run. */
  readonly endedAtMs: number | undefined;
  /** Whether the caller stopped retrying; no call of the program ran. */
  readonly isAbandoned: boolean;
  readonly refusals: number;
}

/** Counters and samples of a run that belong to no single program. */
export interface RunCounters {
  computedPromptTokens: number;
  paidBytes: number;
  decisions: number;
  queueRefusals: number;
  /** Longest time from a caller's request to the refusal. */
  slowestRefusalMs: number;
  firstTokenTimesMs: number[];
  interTokenTimesMs: number[];
}

/** A run's records. */
export interface RunRecords {
  readonly workload: Workload;
  readonly programs: readonly ProgramRecord[];
  readonly counters: RunCounters;
  readonly endMs: number;
}

/** Counts and latencies of one agent's programs. */
export interface AgentSummary {
  readonly agent: string;
  readonly count: number;
  readonly completed: number;
  readonly abandoned: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Summarizes one agent's programs that arrived in the measured interval. */
export function buildAgentSummary(
  records: RunRecords,
  agent: string,
): AgentSummary {
  const measured = listMeasured(records).filter((each) =>
    each.program.agent === agent
  );
  const served = measured.filter((each) => !each.isAbandoned);
  const latencies = served.map((each) => computeLatency(each, records.endMs));
  return {
    agent,
    count: measured.length,
    completed: served.filter((each) => each.endedAtMs !== undefined).length,
    abandoned: measured.length - served.length,
    meanMs: computeMean(latencies),
    p50Ms: computeQuantile(latencies, 0.5),
    p99Ms: computeQuantile(latencies, 0.99),
  };
}

/** Lists the programs that arrived in the measured interval. */
export function listMeasured(records: RunRecords): ProgramRecord[] {
  const { measureFromMs, measureToMs } = records.workload;
  return records.programs.filter(({ program }) =>
    program.arrivesAtMs >= measureFromMs && program.arrivesAtMs < measureToMs
  );
}

/** Computes the ratio of computed prompt tokens to the necessary ones. */
export function computeRecomputeRatio(records: RunRecords): number {
  let needed = 0;
  for (const { program, endedAtMs } of records.programs) {
    if (endedAtMs !== undefined) needed += countNewTokens(program);
  }
  return records.counters.computedPromptTokens / Math.max(1, needed);
}

/** Computes the mean, or zero for an empty list. */
export function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

/** Computes a quantile, or zero for an empty list. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

/** A program that hasn't ended counts with its age at the end of the run. */
function computeLatency(record: ProgramRecord, endMs: number): number {
  return (record.endedAtMs ?? endMs) - record.program.arrivesAtMs;
}

/**
 * What a run records, and its summary.
 */
import {
  countNewTokens,
  type PlannedProgram,
  type Workload,
} from "./workload.ts";

/** The result of one program as its caller saw it. */
export interface ProgramRecord {
  readonly program: PlannedProgram;
  /** When the caller last asked, after any refusals. */
  readonly askedAtMs: number;
  /** Undefined when it hadn't ended when the run was over. */
  readonly endedAtMs: number | undefined;
  /** Whether the caller gave up after refusals; nothing was run then. */
  readonly gaveUp: boolean;
  readonly refusals: number;
}

/** What a run counts beside programs. */
export interface RunCounters {
  computedPromptTokens: number;
  paidBytes: number;
  decisions: number;
  queueRefusals: number;
  /** Longest time from a caller's request to its refusal. */
  slowestRefusalMs: number;
  firstTokens: number[];
  tokenTimes: number[];
}

/** A run's records. */
export interface RunRecords {
  readonly workload: Workload;
  readonly programs: readonly ProgramRecord[];
  readonly counters: RunCounters;
  readonly endMs: number;
}

/** Latency and service of the programs of one agent. */
export interface AgentSummary {
  readonly agent: string;
  readonly count: number;
  readonly completed: number;
  readonly gaveUp: number;
  readonly meanMs: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Summarizes the programs of one agent that arrived in the measured time. */
export function buildAgentSummary(
  records: RunRecords,
  agent: string,
): AgentSummary {
  const measured = listMeasured(records).filter((each) =>
    each.program.agent === agent
  );
  const served = measured.filter((each) => !each.gaveUp);
  const latencies = served.map((each) => computeLatency(each, records.endMs));
  return {
    agent,
    count: measured.length,
    completed: served.filter((each) => each.endedAtMs !== undefined).length,
    gaveUp: measured.length - served.length,
    meanMs: computeMean(latencies),
    p50Ms: computeQuantile(latencies, 0.5),
    p99Ms: computeQuantile(latencies, 0.99),
  };
}

/** Lists the programs that arrived in the measured time. */
export function listMeasured(records: RunRecords): ProgramRecord[] {
  const { measureFromMs, measureToMs } = records.workload;
  return records.programs.filter(({ program }) =>
    program.arrivesAtMs >= measureFromMs && program.arrivesAtMs < measureToMs
  );
}

/** Computes the prompt tokens computed over those that had to be. */
export function computeRecomputeRatio(records: RunRecords): number {
  let needed = 0;
  for (const { program, endedAtMs } of records.programs) {
    if (endedAtMs !== undefined) needed += countNewTokens(program);
  }
  return records.counters.computedPromptTokens / Math.max(1, needed);
}

/** Computes the mean, or zero of nothing. */
export function computeMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

/** Computes a quantile, or zero of nothing. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

/** A program that hasn't ended counts with its age. */
function computeLatency(record: ProgramRecord, endMs: number): number {
  return (record.endedAtMs ?? endMs) - record.program.arrivesAtMs;
}

/**
 * The topologies, workload mixes, runs and measures that the benches share.
 */
import { DEFAULT_ENGINE_SETTINGS } from "../../engine/mod.ts";
import {
  type AgentShape,
  OKONKWO_QUOTE,
  OKONKWO_TRACING,
  ZINCIR_QUOTE,
  ZINCIR_SOURCING,
} from "./agents.ts";
import { runCluster, type SpeedChange } from "./bench_cluster.ts";
import type { Observation } from "./bench_result.ts";
import type { AgentShare, RunTimes } from "./demand.ts";
import {
  buildAgentSummary,
  computeQuantile,
  computeRecomputeRatio,
  type RunRecords,
} from "./measurements.ts";
import type { PolicySet } from "./policies.ts";
import { createTopology, type Topology } from "./topology.ts";
import type { Workload } from "./workload.ts";

/** Zincir's quotes and sourcing. */
export const ZINCIR_MIX: readonly AgentShare[] = [
  { shape: ZINCIR_QUOTE, share: 0.85 },
  { shape: ZINCIR_SOURCING, share: 0.15 },
];

/** Okonkwo's counter quotes and tracing. */
export const OKONKWO_MIX: readonly AgentShare[] = [
  { shape: OKONKWO_QUOTE, share: 0.9 },
  { shape: OKONKWO_TRACING, share: 0.1 },
];

/** The times of a standard run. */
export const RUN_TIMES: RunTimes = {
  arrivalsToMs: 150_000,
  measureFromMs: 20_000,
  measureToMs: 120_000,
};

const NODES = 9;
const ZINCIR_ENGINES = 6;
const OKONKWO_ENGINES = 8;
const DRAIN_MS = 120_000;
const CALLER_RETRY_WINDOW_MS = 60_000;
const MEGABYTE = 1_000_000;

/** Zincir's regions, delays and engines. */
export const ZINCIR_TOPOLOGY: Topology = createTopology({
  regions: ["marmara", "ege", "ic-anadolu"],
  nodes: NODES,
  engines: ZINCIR_ENGINES,
  delays: { withinRegionMs: 0.5, betweenRegionsMs: 8, toClientMs: 1 },
  engine: DEFAULT_ENGINE_SETTINGS,
});

/** Okonkwo's regions, delays and engines. */
export const OKONKWO_TOPOLOGY: Topology = createTopology({
  regions: ["lagos", "onitsha", "kano"],
  nodes: NODES,
  engines: OKONKWO_ENGINES,
  delays: { withinRegionMs: 1, betweenRegionsMs: 8, toClientMs: 3 },
  engine: DEFAULT_ENGINE_SETTINGS,
});

/** One run of a scenario. */
export interface ScenarioRun {
  readonly scenario: string;
  readonly load: number;
  readonly policies: PolicySet;
  readonly seed: number;
  readonly topology: Topology;
  readonly workload: Workload;
  readonly speedChanges?: readonly SpeedChange[];
  readonly drainMs?: number;
}

/** Runs a scenario once. */
export function runScenario(run: ScenarioRun): RunRecords {
  return runCluster({
    topology: run.topology,
    policies: run.policies,
    workload: run.workload,
    seed: run.seed,
    speedChanges: run.speedChanges ?? [],
    drainMs: run.drainMs ?? DRAIN_MS,
    callerRetryWindowMs: CALLER_RETRY_WINDOW_MS,
  });
}

/** Builds an observation of a run. */
export function buildObservation(
  run: Pick<ScenarioRun, "scenario" | "load" | "policies" | "seed">,
  measure: { readonly name: string; readonly unit: Observation["unit"] },
  value: number,
): Observation {
  const { scenario, load, policies, seed } = run;
  const { name, unit } = measure;
  return {
    scenario,
    load,
    policy: policies.name,
    measure: name,
    unit,
    seed,
    value,
  };
}

/** Lists latency, completion, recomputation and paid bytes of a run. */
export function listUsualMeasures(
  run: ScenarioRun,
  records: RunRecords,
  shapes: readonly AgentShape[],
): Observation[] {
  const { counters } = records;
  return [
    ...shapes.flatMap((shape) => listAgentMeasures(run, records, shape)),
    buildObservation(
      run,
      { name: "prompt tokens computed over needed", unit: "ratio" },
      computeRecomputeRatio(records),
    ),
    buildObservation(
      run,
      { name: "paid cross-region bytes", unit: "MB" },
      counters.paidBytes / MEGABYTE,
    ),
    buildObservation(
      run,
      { name: "first token p95", unit: "ms" },
      computeQuantile(counters.firstTokenTimesMs, 0.95),
    ),
    buildObservation(
      run,
      { name: "token cadence p95", unit: "ms" },
      computeQuantile(counters.interTokenTimesMs, 0.95),
    ),
  ];
}

/** Lists latency and completed share of one agent's programs. */
export function listAgentMeasures(
  run: ScenarioRun,
  records: RunRecords,
  shape: AgentShape,
): Observation[] {
  const { agent } = shape;
  const summary = buildAgentSummary(records, agent);
  const served = summary.completed / Math.max(1, summary.count);
  return [
    buildObservation(
      run,
      { name: `${agent} mean`, unit: "ms" },
      summary.meanMs,
    ),
    buildObservation(run, { name: `${agent} p99`, unit: "ms" }, summary.p99Ms),
    buildObservation(run, { name: `${agent} served`, unit: "share" }, served),
  ];
}

/**
 * Measures program latency of each partner's workload under swinging demand.
 * Also compares short quotes beside long work with the same quotes alone.
 */
import {
  buildRows,
  checkTarget,
  computeRatios,
  DEFAULT_POLICY,
  type Observation,
  type TargetCheck,
} from "./bench_result.ts";
import { type AgentShare, createWorkload } from "./demand.ts";
import { CAMPHORLOCK } from "./policies.ts";
import {
  listAgentMeasures,
  listUsualMeasures,
  OKONKWO_MIX,
  OKONKWO_TOPOLOGY,
  RUN_TIMES,
  runScenario,
  type ScenarioRun,
  ZINCIR_MIX,
  ZINCIR_TOPOLOGY,
} from "./scenario.ts";
import type { Topology } from "./topology.ts";
import { computeUnloadedMs, type Workload } from "./workload.ts";
import type { BenchRequest, BenchTables } from "./bench_request.ts";
import { OKONKWO_QUOTE } from "./agents.ts";
import { buildAgentSummary, computeMean } from "./measurements.ts";

const BASELINE = "least_loaded";
const UNLOADED = "nothing else running";

interface PartnerScenario {
  readonly scenario: string;
  readonly agentMix: readonly AgentShare[];
  readonly topology: Topology;
}

const ZINCIR: PartnerScenario = {
  scenario: "zincir",
  agentMix: ZINCIR_MIX,
  topology: ZINCIR_TOPOLOGY,
};
const OKONKWO: PartnerScenario = {
  scenario: "okonkwo",
  agentMix: OKONKWO_MIX,
  topology: OKONKWO_TOPOLOGY,
};

/** Runs Zincir's workload with every policy. */
export function runZincirBench(request: BenchRequest): BenchTables {
  return runPartnerBench(ZINCIR, request);
}

/** Runs Okonkwo's workload with every policy. */
export function runOkonkwoBench(request: BenchRequest): BenchTables {
  return runPartnerBench(OKONKWO, request);
}

/** Runs Okonkwo's quotes beside tracing, and the same quotes alone. */
export function runIsolationBench(request: BenchRequest): BenchTables {
  const observations: Observation[] = [];
  const targets: TargetCheck[] = [];
  const { agent } = OKONKWO_QUOTE;
  for (const load of request.loads) {
    const ratios: number[] = [];
    for (const seed of request.seeds) {
      const workload = createPartnerWorkload(OKONKWO, load, seed);
      const programs = workload.programs.filter((each) => each.agent === agent);
      const mixedRun = createScenarioRun(OKONKWO, { load, seed, workload });
      const aloneRun = createScenarioRun(OKONKWO, {
        load,
        seed,
        workload: { ...workload, programs },
      });
      const mixedRecords = runScenario(mixedRun);
      const aloneRecords = runScenario(aloneRun);
      const aloneP99 = buildAgentSummary(aloneRecords, agent).p99Ms;
      ratios.push(buildAgentSummary(mixedRecords, agent).p99Ms / aloneP99);
      observations.push(
        ...listAgentMeasures(
          { ...mixedRun, scenario: "beside tracing" },
          mixedRecords,
          OKONKWO_QUOTE,
        ),
        ...listAgentMeasures(
          { ...aloneRun, scenario: "alone" },
          aloneRecords,
          OKONKWO_QUOTE,
        ),
      );
    }
    targets.push(checkTarget({
      target: "short quotes beside long work, p99 over alone",
      scenario: "isolation",
      load,
      bound: 1.5,
      isUpperBound: true,
    }, ratios));
  }
  return { rows: buildRows(observations), targets };
}

function runPartnerBench(
  partner: PartnerScenario,
  request: BenchRequest,
): BenchTables {
  const observations: Observation[] = [];
  const shapes = partner.agentMix.map((each) => each.shape);
  for (const load of request.loads) {
    for (const seed of request.seeds) {
      const workload = createPartnerWorkload(partner, load, seed);
      observations.push(
        ...listUnloadedMeasures(partner, { load, seed, workload }),
      );
      for (const policies of request.policies) {
        const run = {
          ...createScenarioRun(partner, { load, seed, workload }),
          policies,
        };
        const records = runScenario(run);
        observations.push(...listUsualMeasures(run, records, shapes));
      }
      request.onProgress?.(`${partner.scenario} load ${load} seed ${seed}`);
    }
  }
  const targets = request.loads.flatMap((load) =>
    checkPartnerTargets(partner, load, observations)
  );
  return { rows: buildRows(observations), targets };
}

function checkPartnerTargets(
  partner: PartnerScenario,
  load: number,
  observations: readonly Observation[],
): TargetCheck[] {
  const findObservations = (policy: string, measure: string): Observation[] =>
    observations.filter((each) =>
      each.load === load && each.policy === policy && each.measure === measure
    );
  const checks: TargetCheck[] = [];
  for (const { shape } of partner.agentMix) {
    for (const kind of ["mean", "p99"]) {
      const measure = `${shape.agent} ${kind}`;
      const ownObservations = findObservations(DEFAULT_POLICY, measure);
      const baselineObservations = findObservations(BASELINE, measure);
      if (load > 0.95) continue;
      const bound = load < 0.8 ? 1 : 0.5;
      const unloadedRatio = computeMean(
        computeRatios(
          findObservations(UNLOADED, measure),
          baselineObservations,
        ),
      );
      checks.push(checkTarget({
        target: `${measure} over first come with least loaded`,
        scenario: partner.scenario,
        load,
        bound,
        isUpperBound: true,
        note: `with nothing else running: ${unloadedRatio.toFixed(2)}`,
      }, computeRatios(ownObservations, baselineObservations)));
    }
  }
  const recomputed = findObservations(
    DEFAULT_POLICY,
    "prompt tokens computed over needed",
  );
  checks.push(checkTarget({
    target: "prompt tokens computed over needed",
    scenario: partner.scenario,
    load,
    bound: 1.1,
    isUpperBound: true,
  }, recomputed.map((each) => each.value)));
  return checks;
}

/** Lists the measures of programs that each have an engine to themselves. */
function listUnloadedMeasures(
  partner: PartnerScenario,
  options: {
    readonly load: number;
    readonly seed: number;
    readonly workload: Workload;
  },
): Observation[] {
  const run = createScenarioRun(partner, options);
  const { engine } = partner.topology;
  const programs = options.workload.programs.map((program) => ({
    program,
    sentAtMs: program.arrivesAtMs,
    endedAtMs: program.arrivesAtMs + computeUnloadedMs(program, engine),
    isAbandoned: false,
    refusals: 0,
  }));
  const records = { ...EMPTY_RECORDS, workload: options.workload, programs };
  const unloadedRun = { ...run, policies: { ...run.policies, name: UNLOADED } };
  return partner.agentMix.flatMap(({ shape }) =>
    listAgentMeasures(unloadedRun, records, shape)
  );
}

const EMPTY_RECORDS = {
  endMs: 0,
  counters: {
    computedPromptTokens: 0,
    paidBytes: 0,
    decisions: 0,
    queueRefusals: 0,
    slowestRefusalMs: 0,
    firstTokenTimesMs: [],
    interTokenTimesMs: [],
  },
};

function createScenarioRun(
  partner: PartnerScenario,
  options: {
    readonly load: number;
    readonly seed: number;
    readonly workload: Workload;
  },
): ScenarioRun {
  const { scenario, topology } = partner;
  return { scenario, topology, policies: CAMPHORLOCK, ...options };
}

function createPartnerWorkload(
  partner: PartnerScenario,
  load: number,
  seed: number,
): Workload {
  const { agentMix, topology } = partner;
  return createWorkload([{ agentMix, getLoad: () => load, swings: true }], {
    seed,
    pool: { engines: topology.engines.length, engine: topology.engine },
    times: RUN_TIMES,
  });
}

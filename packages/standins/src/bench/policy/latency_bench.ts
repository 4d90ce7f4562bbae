/**
 * Program latency of each partner's workload under swinging demand, and short
 * quotes beside long work against the same quotes alone.
 */
import {
  buildRows,
  checkTarget,
  computeRatios,
  DEFAULT_POLICY,
  type Observation,
  type TargetCheck,
} from "./bench_result.ts";
import { createWorkload, type DemandPart } from "./demand.ts";
import { CAMPHORLOCK } from "./policies.ts";
import {
  listAgentMeasures,
  listUsualMeasures,
  OKONKWO_PARTS,
  OKONKWO_TOPOLOGY,
  RUN_TIMES,
  runScenario,
  type ScenarioRun,
  ZINCIR_PARTS,
  ZINCIR_TOPOLOGY,
} from "./scenario.ts";
import type { Topology } from "./topology.ts";
import { computeFloorMs, type Workload } from "./workload.ts";
import type { BenchParts, BenchRequest } from "./bench_request.ts";
import { OKONKWO_QUOTE } from "./agents.ts";
import { buildAgentSummary, computeMean } from "./measurements.ts";

const BASELINE = "least_loaded";
const FLOOR = "nothing else running";

interface Side {
  readonly scenario: string;
  readonly parts: readonly DemandPart[];
  readonly topology: Topology;
}

const ZINCIR: Side = {
  scenario: "zincir",
  parts: ZINCIR_PARTS,
  topology: ZINCIR_TOPOLOGY,
};
const OKONKWO: Side = {
  scenario: "okonkwo",
  parts: OKONKWO_PARTS,
  topology: OKONKWO_TOPOLOGY,
};

/** Runs Zincir's workload under every policy. */
export function runZincirBench(request: BenchRequest): BenchParts {
  return runSide(ZINCIR, request);
}

/** Runs Okonkwo's workload under every policy. */
export function runOkonkwoBench(request: BenchRequest): BenchParts {
  return runSide(OKONKWO, request);
}

/** Runs Okonkwo's quotes beside tracing, and the same quotes alone. */
export function runIsolationBench(request: BenchRequest): BenchParts {
  const observations: Observation[] = [];
  const targets: TargetCheck[] = [];
  const { agent } = OKONKWO_QUOTE;
  for (const load of request.loads) {
    const ratios: number[] = [];
    for (const seed of request.seeds) {
      const workload = createSideWorkload(OKONKWO, load, seed);
      const programs = workload.programs.filter((each) => each.agent === agent);
      const beside = createRun(OKONKWO, { load, seed, workload });
      const alone = createRun(OKONKWO, {
        load,
        seed,
        workload: { ...workload, programs },
      });
      const besideRecords = runScenario(beside);
      const aloneRecords = runScenario(alone);
      const aloneP99 = buildAgentSummary(aloneRecords, agent).p99Ms;
      ratios.push(buildAgentSummary(besideRecords, agent).p99Ms / aloneP99);
      observations.push(
        ...listAgentMeasures(
          { ...beside, scenario: "beside tracing" },
          besideRecords,
          OKONKWO_QUOTE,
        ),
        ...listAgentMeasures(
          { ...alone, scenario: "alone" },
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

function runSide(side: Side, request: BenchRequest): BenchParts {
  const observations: Observation[] = [];
  const shapes = side.parts.map((each) => each.shape);
  for (const load of request.loads) {
    for (const seed of request.seeds) {
      const workload = createSideWorkload(side, load, seed);
      observations.push(...listFloors(side, { load, seed, workload }));
      for (const policies of request.policies) {
        const run = { ...createRun(side, { load, seed, workload }), policies };
        const records = runScenario(run);
        observations.push(...listUsualMeasures(run, records, shapes));
      }
      request.onProgress?.(`${side.scenario} load ${load} seed ${seed}`);
    }
  }
  const targets = request.loads.flatMap((load) =>
    checkSide(side, load, observations)
  );
  return { rows: buildRows(observations), targets };
}

function checkSide(
  side: Side,
  load: number,
  observations: readonly Observation[],
): TargetCheck[] {
  const find = (policy: string, measure: string): Observation[] =>
    observations.filter((each) =>
      each.load === load && each.policy === policy && each.measure === measure
    );
  const checks: TargetCheck[] = [];
  for (const { shape } of side.parts) {
    for (const kind of ["mean", "p99"]) {
      const measure = `${shape.agent} ${kind}`;
      const own = find(DEFAULT_POLICY, measure);
      const base = find(BASELINE, measure);
      if (load > 0.95) continue;
      const bound = load < 0.8 ? 1 : 0.5;
      const floor = computeMean(computeRatios(find(FLOOR, measure), base));
      checks.push(checkTarget({
        target: `${measure} over first come with least loaded`,
        scenario: side.scenario,
        load,
        bound,
        isUpperBound: true,
        note: `with nothing else running: ${floor.toFixed(2)}`,
      }, computeRatios(own, base)));
    }
  }
  const recomputed = find(DEFAULT_POLICY, "prompt tokens computed over needed");
  checks.push(checkTarget({
    target: "prompt tokens computed over needed",
    scenario: side.scenario,
    load,
    bound: 1.1,
    isUpperBound: true,
  }, recomputed.map((each) => each.value)));
  return checks;
}

/** The latency of each program if it had an engine to itself. */
function listFloors(
  side: Side,
  options: {
    readonly load: number;
    readonly seed: number;
    readonly workload: Workload;
  },
): Observation[] {
  const run = createRun(side, options);
  const { engine } = side.topology;
  const programs = options.workload.programs.map((program) => ({
    program,
    askedAtMs: program.arrivesAtMs,
    endedAtMs: program.arrivesAtMs + computeFloorMs(program, engine),
    gaveUp: false,
    refusals: 0,
  }));
  const records = { ...EMPTY_RECORDS, workload: options.workload, programs };
  const floorRun = { ...run, policies: { ...run.policies, name: FLOOR } };
  return side.parts.flatMap(({ shape }) =>
    listAgentMeasures(floorRun, records, shape)
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
    firstTokens: [],
    tokenTimes: [],
  },
};

function createRun(
  side: Side,
  options: {
    readonly load: number;
    readonly seed: number;
    readonly workload: Workload;
  },
): ScenarioRun {
  const { scenario, topology } = side;
  return { scenario, topology, policies: CAMPHORLOCK, ...options };
}

function createSideWorkload(side: Side, load: number, seed: number): Workload {
  const { parts, topology } = side;
  return createWorkload([{ parts, getLoad: () => load, swings: true }], {
    seed,
    pool: { engines: topology.engines.length, engine: topology.engine },
    times: RUN_TIMES,
  });
}

/**
 * Compares a pool of six engines, one of which runs at a fifth of its speed for
 * a minute, with the same pool without that engine. Reports arrive late.
 */
import type { BenchRequest, BenchTables } from "./bench_request.ts";
import {
  buildRows,
  checkTarget,
  computeRatios,
  DEFAULT_POLICY,
  type Observation,
} from "./bench_result.ts";
import { createWorkload } from "./demand.ts";
import { CAMPHORLOCK, type PolicySet } from "./policies.ts";
import {
  listUsualMeasures,
  runScenario,
  type ScenarioRun,
  ZINCIR_MIX,
  ZINCIR_TOPOLOGY,
} from "./scenario.ts";

const SLOW_LOAD = 0.6;
const SLOW_ENGINE = 1;
const SLOW_SPEED = 0.2;
const SLOW_FROM_MS = 40_000;
const SLOW_TO_MS = 100_000;
const TIMES = {
  arrivalsToMs: 130_000,
  measureFromMs: 30_000,
  measureToMs: 100_000,
};
const POOL_WITHOUT_SLOW_ENGINE = "pool without it";
const SLOW_TARGETS_IGNORED: PolicySet = {
  ...CAMPHORLOCK,
  name: "slow targets ignored",
  placement: { ...CAMPHORLOCK.placement, slowTargets: { kind: "ignore" } },
};

/** Runs the slow engine with every policy, and the pool without it. */
export function runSlowBench(request: BenchRequest): BenchTables {
  const observations: Observation[] = [];
  const shapes = ZINCIR_MIX.map((each) => each.shape);
  const topology = ZINCIR_TOPOLOGY;
  const reducedTopology = {
    ...topology,
    engines: topology.engines.filter((_, index) => index !== SLOW_ENGINE),
  };
  for (const seed of request.seeds) {
    const workload = createWorkload([{
      agentMix: ZINCIR_MIX,
      getLoad: () => SLOW_LOAD,
      swings: true,
    }], {
      seed,
      pool: { engines: topology.engines.length, engine: topology.engine },
      times: TIMES,
    });
    const base = { scenario: "slow", load: SLOW_LOAD, seed, workload };
    for (const policies of [...request.policies, SLOW_TARGETS_IGNORED]) {
      const run: ScenarioRun = {
        ...base,
        policies,
        topology,
        speedChanges: [
          { atMs: SLOW_FROM_MS, engine: SLOW_ENGINE, speed: SLOW_SPEED },
          { atMs: SLOW_TO_MS, engine: SLOW_ENGINE, speed: 1 },
        ],
      };
      observations.push(...listUsualMeasures(run, runScenario(run), shapes));
    }
    const policies = { ...CAMPHORLOCK, name: POOL_WITHOUT_SLOW_ENGINE };
    const run: ScenarioRun = { ...base, policies, topology: reducedTopology };
    observations.push(...listUsualMeasures(run, runScenario(run), shapes));
    request.onProgress?.(`slow seed ${seed}`);
  }
  const findObservations = (policy: string, measure: string): Observation[] =>
    observations.filter((each) =>
      each.policy === policy && each.measure === measure
    );
  const targets = shapes.map(({ agent }) => {
    const measure = `${agent} p99`;
    const ownObservations = findObservations(DEFAULT_POLICY, measure);
    return checkTarget(
      {
        target: `${measure} over the pool without the slow engine`,
        scenario: "slow",
        load: SLOW_LOAD,
        bound: 1.3,
        isUpperBound: true,
      },
      computeRatios(
        ownObservations,
        findObservations(POOL_WITHOUT_SLOW_ENGINE, measure),
      ),
    );
  });
  return { rows: buildRows(observations), targets };
}

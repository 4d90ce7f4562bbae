/**
 * Measures the isolation of partners: one floods a shared pool, and the other's
 * latency and completed share should stay near their usual values.
 */
import type { Partner } from "@camphorlock/types";
import type { AgentShape } from "./agents.ts";
import type { BenchRequest, BenchTables } from "./bench_request.ts";
import {
  buildRows,
  checkTarget,
  computeRatios,
  DEFAULT_POLICY,
  type Observation,
  type TargetCheck,
} from "./bench_result.ts";
import { createWorkload } from "./demand.ts";
import {
  computeQuantile,
  listMeasured,
  type RunRecords,
} from "./measurements.ts";
import {
  buildObservation,
  listAgentMeasures,
  OKONKWO_MIX,
  OKONKWO_TOPOLOGY,
  runScenario,
  type ScenarioRun,
  ZINCIR_MIX,
} from "./scenario.ts";

const USUAL_LOAD = 0.4;
const FLOOD_LOAD = 2;
const TIMES = {
  arrivalsToMs: 120_000,
  measureFromMs: 20_000,
  measureToMs: 100_000,
};

/** Runs a flood by each partner in turn, with every policy. */
export function runFloodBench(request: BenchRequest): BenchTables {
  const tables = (["zincir", "okonkwo"] as const).map((flooder) =>
    runFlood(flooder, request)
  );
  return {
    rows: tables.flatMap((each) => each.rows),
    targets: tables.flatMap((each) => each.targets),
  };
}

function runFlood(flooder: Partner, request: BenchRequest): BenchTables {
  const observations: Observation[] = [];
  const scenario = `${flooder} floods`;
  const usualScenario = `${flooder} as usual`;
  const victimMix = flooder === "zincir" ? OKONKWO_MIX : ZINCIR_MIX;
  const shapes = victimMix.map((each) => each.shape);
  for (const seed of request.seeds) {
    for (const policies of request.policies) {
      for (const load of [USUAL_LOAD, FLOOD_LOAD]) {
        const run: ScenarioRun = {
          scenario: load === FLOOD_LOAD ? scenario : usualScenario,
          load,
          policies,
          seed,
          topology: OKONKWO_TOPOLOGY,
          workload: createFloodWorkload(flooder, load, seed),
          drainMs: 180_000,
        };
        const records = runScenario(run);
        observations.push(...listVictimMeasures(run, records, shapes));
      }
    }
    request.onProgress?.(`${scenario} seed ${seed}`);
  }
  const findObservations = (name: string, measure: string): Observation[] =>
    observations.filter((each) =>
      each.scenario === name && each.measure === measure &&
      each.policy === DEFAULT_POLICY
    );
  const targets: TargetCheck[] = shapes.flatMap(({ agent }) => {
    const [p99, served] = [`${agent} p99`, `${agent} served`];
    const load = FLOOD_LOAD;
    return [
      checkTarget(
        {
          target: `${p99} over usual`,
          scenario,
          load,
          bound: 1.2,
          isUpperBound: true,
        },
        computeRatios(
          findObservations(scenario, p99),
          findObservations(usualScenario, p99),
        ),
      ),
      checkTarget(
        {
          target: `${served} over usual`,
          scenario,
          load,
          bound: 0.95,
          isUpperBound: false,
        },
        computeRatios(
          findObservations(scenario, served),
          findObservations(usualScenario, served),
        ),
      ),
    ];
  });
  return { rows: buildRows(observations), targets };
}

function listVictimMeasures(
  run: ScenarioRun,
  records: RunRecords,
  shapes: readonly AgentShape[],
): Observation[] {
  const measured = listMeasured(records);
  const refused = measured.filter((each) =>
    each.refusals > 0 &&
    shapes.some((one) => one.agent === each.program.agent)
  ).length;
  return [
    ...shapes.flatMap((shape) => listAgentMeasures(run, records, shape)),
    buildObservation(
      run,
      { name: "refused at least once", unit: "count" },
      refused,
    ),
    buildObservation(
      run,
      { name: "token cadence p95", unit: "ms" },
      computeQuantile(records.counters.interTokenTimesMs, 0.95),
    ),
  ];
}

function createFloodWorkload(
  flooder: Partner,
  load: number,
  seed: number,
): ScenarioRun["workload"] {
  const getLoad = (partner: Partner): number =>
    partner === flooder ? load : USUAL_LOAD;
  const { engines, engine } = OKONKWO_TOPOLOGY;
  return createWorkload([
    { agentMix: ZINCIR_MIX, getLoad: () => getLoad("zincir"), swings: true },
    { agentMix: OKONKWO_MIX, getLoad: () => getLoad("okonkwo"), swings: true },
  ], { seed, pool: { engines: engines.length, engine }, times: TIMES });
}

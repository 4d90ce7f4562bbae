/**
 * One partner floods a shared pool; the other should hardly notice.
 */
import type { Partner } from "@camphorlock/types";
import type { AgentShape } from "./agents.ts";
import type { BenchParts, BenchRequest } from "./bench_request.ts";
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
  OKONKWO_PARTS,
  OKONKWO_TOPOLOGY,
  runScenario,
  type ScenarioRun,
  ZINCIR_PARTS,
} from "./scenario.ts";

const USUAL_LOAD = 0.4;
const FLOOD_LOAD = 2;
const TIMES = {
  arrivalsToMs: 120_000,
  measureFromMs: 20_000,
  measureToMs: 100_000,
};

/** Floods by each partner in turn, under every policy. */
export function runFloodBench(request: BenchRequest): BenchParts {
  const parts = (["zincir", "okonkwo"] as const).map((flooder) =>
    runFlood(flooder, request)
  );
  return {
    rows: parts.flatMap((each) => each.rows),
    targets: parts.flatMap((each) => each.targets),
  };
}

function runFlood(flooder: Partner, request: BenchRequest): BenchParts {
  const observations: Observation[] = [];
  const scenario = `${flooder} floods`;
  const quiet = `${flooder} as usual`;
  const victims = flooder === "zincir" ? OKONKWO_PARTS : ZINCIR_PARTS;
  const shapes = victims.map((each) => each.shape);
  for (const seed of request.seeds) {
    for (const policies of request.policies) {
      for (const load of [USUAL_LOAD, FLOOD_LOAD]) {
        const run: ScenarioRun = {
          scenario: load === FLOOD_LOAD ? scenario : quiet,
          load,
          policies,
          seed,
          topology: OKONKWO_TOPOLOGY,
          workload: createFlood(flooder, load, seed),
          drainMs: 180_000,
        };
        const records = runScenario(run);
        observations.push(...listVictimMeasures(run, records, shapes));
      }
    }
    request.onProgress?.(`${scenario} seed ${seed}`);
  }
  const find = (name: string, measure: string): Observation[] =>
    observations.filter((each) =>
      each.scenario === name && each.measure === measure &&
      each.policy === DEFAULT_POLICY
    );
  const targets: TargetCheck[] = shapes.flatMap(({ agent }) => {
    const [p99, served] = [`${agent} p99`, `${agent} served`];
    const load = FLOOD_LOAD;
    return [
      checkTarget({
        target: `${p99} over usual`,
        scenario,
        load,
        bound: 1.2,
        isUpperBound: true,
      }, computeRatios(find(scenario, p99), find(quiet, p99))),
      checkTarget({
        target: `${served} over usual`,
        scenario,
        load,
        bound: 0.95,
        isUpperBound: false,
      }, computeRatios(find(scenario, served), find(quiet, served))),
    ];
  });
  return { rows: buildRows(observations), targets };
}

function listVictimMeasures(
  run: ScenarioRun,
  records: RunRecords,
  shapes: readonly AgentShape[],
): Observation[] {
  const first = listMeasured(records);
  const refused = first.filter((each) =>
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
      computeQuantile(records.counters.tokenTimes, 0.95),
    ),
  ];
}

function createFlood(
  flooder: Partner,
  load: number,
  seed: number,
): ScenarioRun["workload"] {
  const getLoad = (partner: Partner): number =>
    partner === flooder ? load : USUAL_LOAD;
  const { engines, engine } = OKONKWO_TOPOLOGY;
  return createWorkload([
    { parts: ZINCIR_PARTS, getLoad: () => getLoad("zincir"), swings: true },
    { parts: OKONKWO_PARTS, getLoad: () => getLoad("okonkwo"), swings: true },
  ], { seed, pool: { engines: engines.length, engine }, times: TIMES });
}

/**
 * Service during a load crest: quotes of both partners at three times capacity
 * for ten seconds.
 */
import { OKONKWO_QUOTE, ZINCIR_QUOTE } from "./agents.ts";
import type { BenchRequest, BenchTables } from "./bench_request.ts";
import {
  buildRows,
  checkTarget,
  DEFAULT_POLICY,
  type Observation,
  type TargetCheck,
} from "./bench_result.ts";
import {
  computeStreamCapacity,
  createWorkload,
  type DemandStream,
} from "./demand.ts";
import {
  computeMean,
  computeQuantile,
  type RunRecords,
} from "./measurements.ts";
import {
  buildObservation,
  runScenario,
  type ScenarioRun,
  ZINCIR_TOPOLOGY,
} from "./scenario.ts";

const USUAL_LOAD = 0.7;
const CREST_LOAD = 3;
const CREST_FROM_MS = 30_000;
const CREST_TO_MS = 40_000;
/** Time from the first arrival of the crest to its first completions. */
const RAMP_MS = 3_000;
/** Time after the crest by which latency should be normal again. */
const RECOVERY_MS = 5_000;
/** Length of each window whose latencies are compared. */
const WINDOW_MS = 10_000;
const TIMES = {
  arrivalsToMs: 90_000,
  measureFromMs: 5_000,
  measureToMs: 80_000,
};

const STREAM: DemandStream = {
  agentMix: [
    { shape: ZINCIR_QUOTE, share: 0.5 },
    { shape: OKONKWO_QUOTE, share: 0.5 },
  ],
  getLoad: (atMs) =>
    atMs >= CREST_FROM_MS && atMs < CREST_TO_MS ? CREST_LOAD : USUAL_LOAD,
  swings: false,
};

const COMPLETED = "completed through the crest over capacity";
const SLOWEST_REFUSAL = "slowest refusal";
const RECOVERY = "p99 five seconds after the crest over before";

/** Runs the crest with every policy. */
export function runCrestBench(request: BenchRequest): BenchTables {
  const pool = {
    engines: ZINCIR_TOPOLOGY.engines.length,
    engine: ZINCIR_TOPOLOGY.engine,
  };
  const capacity = computeStreamCapacity(STREAM, pool);
  const observations: Observation[] = [];
  for (const seed of request.seeds) {
    const workload = createWorkload([STREAM], { seed, pool, times: TIMES });
    for (const policies of request.policies) {
      const run: ScenarioRun = {
        scenario: "crest",
        load: CREST_LOAD,
        policies,
        seed,
        topology: ZINCIR_TOPOLOGY,
        workload,
      };
      const records = runScenario(run);
      observations.push(...listCrestMeasures(run, records, capacity));
    }
    request.onProgress?.(`crest seed ${seed}`);
  }
  return {
    rows: buildRows(observations),
    targets: checkCrestTargets(observations),
  };
}

function listCrestMeasures(
  run: ScenarioRun,
  records: RunRecords,
  capacity: number,
): Observation[] {
  const fromMs = CREST_FROM_MS + RAMP_MS;
  const completed =
    records.programs.filter(({ endedAtMs }) =>
      endedAtMs !== undefined && endedAtMs >= fromMs && endedAtMs < CREST_TO_MS
    ).length;
  const rate = completed * 1_000 / (CREST_TO_MS - fromMs);
  const before = listRequestLatencies(records, CREST_FROM_MS - WINDOW_MS);
  const after = listRequestLatencies(records, CREST_TO_MS + RECOVERY_MS);
  const crest = listRequestLatencies(records, CREST_FROM_MS);
  const refused = records.programs.filter((each) => each.refusals > 0).length;
  const p99Before = Math.max(1, computeQuantile(before, 0.99));
  const values: [string, Observation["unit"], number][] = [
    [COMPLETED, "share", rate / capacity],
    ["mean of what was admitted in the crest", "ms", computeMean(crest)],
    [
      "p99 of what was admitted in the crest",
      "ms",
      computeQuantile(crest, 0.99),
    ],
    [RECOVERY, "ratio", computeQuantile(after, 0.99) / p99Before],
    [SLOWEST_REFUSAL, "ms", records.counters.slowestRefusalMs],
    ["programs refused at least once", "count", refused],
    [
      "programs given up",
      "count",
      records.programs.filter((each) => each.isAbandoned).length,
    ],
    [
      "mean from the first request on",
      "ms",
      computeMean(listTotalLatencies(records)),
    ],
  ];
  return values.map(([name, unit, value]) =>
    buildObservation(run, { name, unit }, value)
  );
}

/** Lists the latencies of programs last sent in the window at `fromMs`. */
function listRequestLatencies(records: RunRecords, fromMs: number): number[] {
  return records.programs.flatMap(({ sentAtMs, endedAtMs, isAbandoned }) => {
    if (sentAtMs < fromMs || sentAtMs >= fromMs + WINDOW_MS) return [];
    if (isAbandoned) return [];
    return [(endedAtMs ?? records.endMs) - sentAtMs];
  });
}

function listTotalLatencies(records: RunRecords): number[] {
  return records.programs.flatMap(({ program, endedAtMs, isAbandoned }) => {
    const { arrivesAtMs } = program;
    if (isAbandoned) return [];
    if (arrivesAtMs < CREST_FROM_MS || arrivesAtMs >= CREST_TO_MS) return [];
    return [(endedAtMs ?? records.endMs) - arrivesAtMs];
  });
}

function checkCrestTargets(
  observations: readonly Observation[],
): TargetCheck[] {
  const checkMeasure = (
    measure: string,
    bound: number,
    isUpperBound: boolean,
  ): TargetCheck =>
    checkTarget(
      {
        target: measure,
        scenario: "crest",
        load: CREST_LOAD,
        bound,
        isUpperBound,
      },
      observations.flatMap((each) =>
        each.policy === DEFAULT_POLICY && each.measure === measure
          ? [each.value]
          : []
      ),
    );
  return [
    checkMeasure(COMPLETED, 0.95, false),
    checkMeasure(SLOWEST_REFUSAL, 100, true),
    checkMeasure(RECOVERY, 1.1, true),
  ];
}

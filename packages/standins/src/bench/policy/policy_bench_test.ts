import { expect } from "chai";
import { runCluster } from "./bench_cluster.ts";
import { buildRows, checkTarget, type Observation } from "./bench_result.ts";
import { createWorkload } from "./demand.ts";
import { VirtualClock } from "../../fleet/virtual_clock.ts";
import type { RunRecords } from "./measurements.ts";
import { CAMPHORLOCK } from "./policies.ts";
import { runPolicyBench } from "./run_policy_bench.ts";
import { ZINCIR_MIX, ZINCIR_TOPOLOGY } from "./scenario.ts";

const ENGINES = {
  engines: ZINCIR_TOPOLOGY.engines.length,
  engine: ZINCIR_TOPOLOGY.engine,
};

function runShort(seed: number): RunRecords {
  const workload = createWorkload([{
    agentMix: ZINCIR_MIX,
    getLoad: () => 0.5,
    swings: true,
  }], {
    seed,
    pool: ENGINES,
    times: { arrivalsToMs: 5_000, measureFromMs: 0, measureToMs: 5_000 },
  });
  return runCluster({
    topology: ZINCIR_TOPOLOGY,
    policies: CAMPHORLOCK,
    workload,
    seed,
    speedChanges: [],
    drainMs: 400_000,
    callerRetryWindowMs: 60_000,
  });
}

function buildObservation(
  policy: string,
  seed: number,
  value: number,
): Observation {
  const measure = { scenario: "s", load: 1, measure: "m", unit: "ms" } as const;
  return { ...measure, policy, seed, value };
}

describe("policy bench", () => {
  it("completes every program, with the same times for the same seed", () => {
    const first = runShort(3);
    const second = runShort(3);
    const open = first.programs.filter((each) => each.endedAtMs === undefined);
    expect(first.programs.length).to.be.above(20);
    expect(open).to.deep.equal([]);
    expect(second.programs.map((each) => each.endedAtMs))
      .to.deep.equal(first.programs.map((each) => each.endedAtMs));
    expect(runShort(4).programs.length).not.to.equal(0);
  });

  it("computes ratios per seed", () => {
    const rows = buildRows([
      buildObservation("camphorlock", 1, 10),
      buildObservation("camphorlock", 2, 30),
      buildObservation("random", 1, 20),
      buildObservation("random", 2, 30),
    ]);
    const random = rows.find((each) => each.policy === "random");
    expect(random?.ratio).to.deep.equal({ mean: 0.75, low: 0.5, high: 1 });
  });

  it("compares the mean over seeds with the bound of a target", () => {
    const check = {
      target: "t",
      scenario: "s",
      load: 1,
      bound: 2,
      isUpperBound: true,
    };
    expect(checkTarget(check, [1, 2.5]).met).to.equal(true);
    expect(checkTarget(check, [2, 2.5]).met).to.equal(false);
    expect(checkTarget({ ...check, isUpperBound: false }, [1]).met)
      .to.equal(false);
  });

  it("fails for an unknown bench name", () => {
    const result = runPolicyBench({ name: "nothing", seeds: 1, loads: [1] });
    expect(result.isErr()).to.equal(true);
  });
});

describe("virtual clock", () => {
  it("runs events by due time, then by insertion order", () => {
    const clock = new VirtualClock();
    const order: string[] = [];
    for (
      const [atMs, name] of [[3, "d"], [1, "a"], [2, "b"], [2, "c"]] as const
    ) {
      clock.addAt(atMs, () => order.push(name));
    }
    clock.runTo(2);
    expect(order.join("")).to.equal("abc");
    clock.runTo(9);
    expect(order.join("")).to.equal("abcd");
  });
});

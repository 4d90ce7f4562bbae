import { expect } from "chai";
import type { PlantedFault } from "./simulated_disk_test.ts";
import { TurnSimulation } from "./turn_simulation_test.ts";

/** The environment may set more runs and other seeds. */
const RUNS = Number(process.env["TURN_RUNS"] ?? 40);
const FIRST_SEED = Number(process.env["TURN_SEED"] ?? 1);
const STEPS = 60;
/** Runs within which a planted fault must lose a turn. */
const MAX_RUNS_PER_FAULT = 200;
const PLANTED_FAULTS: readonly PlantedFault[] = [
  "turns are acknowledged before the sync",
  "a wiped disk counts as complete",
  "a retiring disk doesn't wait for copies",
  "turns are saved on as many disks as may be lost",
  "a disk's copies aren't made again after a wipe",
];

interface RunResult {
  /** Turns that were confirmed and then missing or denied. */
  readonly lost: readonly string[];
  readonly acknowledged: number;
  readonly trace: readonly string[];
}

async function runSeed(seed: number, fault: PlantedFault): Promise<RunResult> {
  const simulation = new TurnSimulation(seed, fault);
  try {
    const lost = await simulation.run(STEPS);
    const { acknowledged, trace } = simulation;
    return { lost, acknowledged: acknowledged.length, trace };
  } finally {
    simulation.close();
  }
}

describe("the protocol of kept turns", () => {
  it("loses no confirmed turn under random losses", async () => {
    let acknowledged = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
      const run = await runSeed(seed, "none");
      acknowledged += run.acknowledged;
      expect(run.lost, `seed ${seed}: ${run.trace.join(", ")}`)
        .to.deep.equal([]);
    }
    expect(acknowledged).to.be.greaterThan(RUNS * 5);
  });

  for (const fault of PLANTED_FAULTS) {
    it(`loses a turn in some run when ${fault}`, async () => {
      for (let seed = 1; seed <= MAX_RUNS_PER_FAULT; seed += 1) {
        if ((await runSeed(seed, fault)).lost.length > 0) return;
      }
      expect.fail(`no turn was lost in ${MAX_RUNS_PER_FAULT} runs`);
    });
  }
});

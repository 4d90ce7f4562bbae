import { expect } from "chai";
import {
  type PlantedFault,
  RevocationSimulation,
} from "./revocation_simulation_test.ts";

/** The environment may set more runs and other seeds. */
const RUNS = Number(process.env["REVOCATION_RUNS"] ?? 30);
const FIRST_SEED = Number(process.env["REVOCATION_SEED"] ?? 1);
const STEPS = 40;
/** Runs within which a planted fault must break a rule. */
const MAX_RUNS_PER_FAULT = 60;
const PLANTED_FAULTS: readonly PlantedFault[] = [
  "keys never lapse",
  "only the steady clock counts",
  "a relay's copy counts as new",
  "an unknown key is refused whatever the age",
];

async function runSeed(seed: number, fault: PlantedFault) {
  const simulation = new RevocationSimulation(seed, fault);
  try {
    await simulation.run(STEPS);
    return simulation;
  } finally {
    simulation.close();
  }
}

// Guards against a removed key that is accepted too late, or a listed one that
// is called unknown, at gateways that are cut off from the store or from each
// other, suspended, or behind slow responses.
describe("keys that are added and removed under faults", () => {
  it("lapse in time, and are known in time", async () => {
    let accepted = 0;
    let asked = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed += 1) {
      const run = await runSeed(seed, "none");
      expect(run.broken, `seed ${seed}: ${run.trace.join(", ")}`)
        .to.deep.equal([]);
      accepted += run.accepted;
      asked += run.asked;
    }
    // A gateway that accepts nothing would break no rule, too.
    expect(accepted / asked).to.be.above(0.5);
  }).timeout(120_000);

  for (const fault of PLANTED_FAULTS) {
    it(`break a rule in some run when ${fault}`, async () => {
      for (let seed = 1; seed <= MAX_RUNS_PER_FAULT; seed += 1) {
        if ((await runSeed(seed, fault)).broken.length > 0) return;
      }
      expect.fail(`no rule was broken in ${MAX_RUNS_PER_FAULT} runs`);
    }).timeout(120_000);
  }
});

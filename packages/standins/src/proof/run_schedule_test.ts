import { expect } from "chai";
import { checkHistory } from "./check_history.ts";
import { runSchedule } from "./run_schedule.ts";

const FIRST_SEED = 1;
const SEED_COUNT = 100;
const STOP_SEEDS = 20;
const REPRODUCE_COMMAND =
  "node --import tsx packages/standins/src/proof/main.ts";

describe("random fault schedules", () => {
  it("violate no check", () => {
    const failures: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      const violations = checkHistory(runSchedule(seed).history);
      for (const { check, detail } of violations) {
        const command =
          `${REPRODUCE_COMMAND} --from ${seed} --seeds 1 --events`;
        failures.push(`${check}: ${detail}; ${command}`);
      }
    }
    expect(failures).to.deep.equal([]);
  });

  it("interrupt no call when nodes shut down gracefully", () => {
    const failures: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + STOP_SEEDS; seed++) {
      const { history } = runSchedule(seed, ["stop_node"]);
      expect(history.gracefulRequests).not.to.have.length(0);
      for (const { check, detail } of checkHistory(history)) {
        failures.push(`seed ${seed}: ${check}: ${detail}`);
      }
    }
    expect(failures).to.deep.equal([]);
  });

  it("produce the same run for the same seed", () => {
    const texts = [1, 2].map(() => JSON.stringify(runSchedule(7).history));
    expect(texts[0]).to.equal(texts[1]);
  });
});

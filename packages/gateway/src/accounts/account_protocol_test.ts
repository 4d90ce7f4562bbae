import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  AccountWorld,
  BUDGET_TOKENS,
  OFTEN,
  type PlantedFault,
  type Step,
} from "./account_world_test.ts";
import { VirtualTime } from "./virtual_time_test.ts";

/** More runs, other seeds and deeper orders are tried by hand. */
const RANDOM_RUNS = Number(process.env["PROTOCOL_RUNS"] ?? 300);
const FIRST_SEED = Number(process.env["PROTOCOL_SEED"] ?? 1);
/** First steps of which every order is tried. */
const SEARCH_DEPTH = Number(process.env["PROTOCOL_DEPTH"] ?? 2);
const RANDOM_STEPS = 300;
/** Steps that then spend whatever can be spent. */
const SPENDING_STEPS = 200;
/** Steps of which one begins a turn and one ends a turn. */
const SPENDING_ROUND = 8;
/** Runs within which each planted fault has to be found. */
const PLANTED_RUNS = 1_000;
const PLANTED: readonly PlantedFault[] = [
  "admits while the store is away",
  "a restarted holder goes on as the same process",
  "doubt about an earlier holder is dropped",
  "a moved account arrives twice",
  "a first allowance is forgotten",
  "writes have no condition",
  "a turn goes on after its end was told",
];

/** Chooses the next step. */
type Choose = (steps: readonly Step[]) => Step | undefined;

/** What a run came to. */
interface Run {
  readonly passedTokens: number;
  readonly trace: readonly string[];
  /** Steps to choose from after those that were chosen. */
  readonly branches: number;
}

/** Runs chosen steps, then spends all that any gateway lets through. */
async function runSteps(
  fault: PlantedFault,
  steps: number,
  choose: Choose,
): Promise<Run> {
  const time = new VirtualTime();
  const trace: string[] = [];
  try {
    const world = new AccountWorld(time, fault);
    await settle();
    const run = async (step: Step | undefined): Promise<void> => {
      if (step === undefined) return;
      trace.push(step.name);
      step.run();
      await settle();
    };
    for (let at = 0; at < steps; at += 1) await run(choose(world.listSteps()));
    const branches = world.listSteps().length;
    world.heal();
    for (let at = 0; at < SPENDING_STEPS; at += 1) {
      await run(chooseSpending(world.listSteps(), at));
    }
    return { passedTokens: world.passedTokens, trace, branches };
  } finally {
    time.remove();
  }
}

/** Lets everything run that needs no further step. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function buildRandom(seed: number): Choose {
  const generator = xoroshiro128plus(seed);
  return (steps) => {
    const whole = steps.reduce((sum, { weight }) => sum + weight, 0);
    let left = uniformInt(generator, 0, whole - 1);
    return steps.find(({ weight }) => (left -= weight) < 0);
  };
}

/** Chooses a message or answer on its way. */
function chooseArriving(steps: readonly Step[]): Step | undefined {
  return steps.find(({ weight, name }) => weight === OFTEN && name !== "pass");
}

/** Chooses what passes tokens on, else what leads to it. */
function chooseSpending(
  steps: readonly Step[],
  at: number,
): Step | undefined {
  const choose = (name: string): Step | undefined => {
    const named = steps.filter((each) => each.name.startsWith(name));
    return named[Math.floor(at / SPENDING_ROUND) % named.length];
  };
  switch (at % SPENDING_ROUND) {
    case 0:
      return choose("turn at");
    case SPENDING_ROUND - 1:
      return choose("end") ?? choose("timer");
    default:
      return chooseArriving(steps) ?? choose("pass") ?? choose("timer");
  }
}

/** Runs every order of the first steps. */
async function* runAllOrders(fault: PlantedFault): AsyncGenerator<Run> {
  const open: number[][] = [[]];
  for (let order = open.pop(); order !== undefined; order = open.pop()) {
    const chosen = [...order];
    const run = await runSteps(
      fault,
      order.length,
      (steps) => steps[chosen.shift() ?? 0],
    );
    yield run;
    if (order.length === SEARCH_DEPTH) continue;
    for (let next = 0; next < run.branches; next += 1) {
      open.push([...order, next]);
    }
  }
}

describe("the account protocol", () => {
  it("passes on no more than the budget, whatever happens in any order", async () => {
    for (let at = 0; at < RANDOM_RUNS; at += 1) {
      const seed = FIRST_SEED + at;
      const run = await runSteps("none", RANDOM_STEPS, buildRandom(seed));
      expect(run.passedTokens, `seed ${seed}: ${run.trace.join(", ")}`)
        .to.be.at.most(BUDGET_TOKENS);
    }
  });

  it("passes on no more than the budget in every order of the first steps", async () => {
    for await (const run of runAllOrders("none")) {
      expect(run.passedTokens, run.trace.join(", "))
        .to.be.at.most(BUDGET_TOKENS);
    }
  });

  it("passes on the whole budget when nothing happens to it", async () => {
    const choose: Choose = (steps) =>
      chooseArriving(steps) ?? steps.find(({ name }) => name === "pass") ??
        steps.find(({ name }) => name === "end") ??
        steps.find(({ name }) => name.startsWith("turn at"));
    const run = await runSteps("none", SPENDING_STEPS, choose);
    expect(run.passedTokens, run.trace.join(", ")).to.equal(BUDGET_TOKENS);
  });

  for (const fault of PLANTED) {
    it(`is found to fail when ${fault}`, async () => {
      for (let seed = 1; seed <= PLANTED_RUNS; seed += 1) {
        const run = await runSteps(fault, RANDOM_STEPS, buildRandom(seed));
        if (run.passedTokens > BUDGET_TOKENS) return;
      }
      expect.fail(`not found in ${PLANTED_RUNS} runs`);
    });
  }
});

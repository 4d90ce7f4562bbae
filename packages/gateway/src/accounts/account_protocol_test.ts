import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  AccountSimulation,
  BUDGET_TOKENS,
  type InjectedFault,
  OFTEN,
  type Step,
} from "./account_simulation_test.ts";
import { VirtualTime } from "./virtual_time_test.ts";

/** The environment may set more runs, other seeds and a deeper search. */
const RANDOM_RUNS = Number(process.env["PROTOCOL_RUNS"] ?? 300);
const FIRST_SEED = Number(process.env["PROTOCOL_SEED"] ?? 1);
/** Number of first steps of which every order is run. */
const SEARCH_DEPTH = Number(process.env["PROTOCOL_DEPTH"] ?? 2);
const RANDOM_STEPS = 300;
/** Steps that then spend all remaining tokens. */
const SPENDING_STEPS = 200;
/** Length of a round of steps, one of which opens and one closes a turn. */
const SPENDING_ROUND = 8;
/** Maximum runs until an injected fault must exceed the budget. */
const MAX_RUNS_PER_FAULT = 1_000;
const INJECTED_FAULTS: readonly InjectedFault[] = [
  "turns are admitted while the store is unavailable",
  "a restarted shard holder keeps its boot ID",
  "the table drops the mark of unverified shards",
  "a moved account is delivered twice",
  "the holder evicts a first allowance too early",
  "writes to the store are unconditional",
  "a turn continues after it was closed",
];

/** Chooses the next step. */
type ChooseStep = (steps: readonly Step[]) => Step | undefined;

/** Result of a run. */
interface Run {
  readonly passedTokens: number;
  readonly trace: readonly string[];
  /** Number of possible next steps after those of the run. */
  readonly branches: number;
}

/** Runs chosen steps, then spends all tokens that any gateway grants. */
async function runSteps(
  fault: InjectedFault,
  steps: number,
  choose: ChooseStep,
): Promise<Run> {
  const time = new VirtualTime();
  const trace: string[] = [];
  try {
    const simulation = new AccountSimulation(time, fault);
    await settle();
    const run = async (step: Step | undefined): Promise<void> => {
      if (step === undefined) return;
      trace.push(step.name);
      step.run();
      await settle();
    };
    for (let at = 0; at < steps; at += 1) {
      await run(choose(simulation.listSteps()));
    }
    const branches = simulation.listSteps().length;
    simulation.heal();
    for (let at = 0; at < SPENDING_STEPS; at += 1) {
      await run(chooseSpending(simulation.listSteps(), at));
    }
    return { passedTokens: simulation.passedTokens, trace, branches };
  } finally {
    time.restore();
  }
}

/** Runs all pending promise callbacks. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function buildRandomChoice(seed: number): ChooseStep {
  const generator = xoroshiro128plus(seed);
  return (steps) => {
    const totalWeight = steps.reduce((sum, { weight }) => sum + weight, 0);
    let left = uniformInt(generator, 0, totalWeight - 1);
    return steps.find(({ weight }) => (left -= weight) < 0);
  };
}

/** Chooses a message or response in flight. */
function chooseDelivery(steps: readonly Step[]): Step | undefined {
  return steps.find(({ weight, name }) =>
    weight === OFTEN && name !== "forward"
  );
}

/** Chooses a step that forwards tokens, else one that leads to it. */
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
      return chooseDelivery(steps) ?? choose("forward") ?? choose("timer");
  }
}

/** Runs every order of the first steps. */
async function* runAllOrders(fault: InjectedFault): AsyncGenerator<Run> {
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
  it("forwards no more than the budget in random orders of steps", async () => {
    for (let at = 0; at < RANDOM_RUNS; at += 1) {
      const seed = FIRST_SEED + at;
      const run = await runSteps("none", RANDOM_STEPS, buildRandomChoice(seed));
      expect(run.passedTokens, `seed ${seed}: ${run.trace.join(", ")}`)
        .to.be.at.most(BUDGET_TOKENS);
    }
  });

  it("forwards no more than the budget in every order of the first steps", async () => {
    for await (const run of runAllOrders("none")) {
      expect(run.passedTokens, run.trace.join(", "))
        .to.be.at.most(BUDGET_TOKENS);
    }
  });

  it("forwards the complete budget when nothing fails", async () => {
    const choose: ChooseStep = (steps) =>
      chooseDelivery(steps) ?? steps.find(({ name }) => name === "forward") ??
        steps.find(({ name }) => name === "end") ??
        steps.find(({ name }) => name.startsWith("turn at"));
    const run = await runSteps("none", SPENDING_STEPS, choose);
    expect(run.passedTokens, run.trace.join(", ")).to.equal(BUDGET_TOKENS);
  });

  for (const fault of INJECTED_FAULTS) {
    it(`exceeds the budget in some run when ${fault}`, async () => {
      for (let seed = 1; seed <= MAX_RUNS_PER_FAULT; seed += 1) {
        const run = await runSteps(
          fault,
          RANDOM_STEPS,
          buildRandomChoice(seed),
        );
        if (run.passedTokens > BUDGET_TOKENS) return;
      }
      expect.fail(`budget not exceeded in ${MAX_RUNS_PER_FAULT} runs`);
    });
  }
});

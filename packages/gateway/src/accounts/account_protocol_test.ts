import { expect } from "chai";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { AccountSimulation, BUDGET_TOKENS } from "./account_simulation_test.ts";
import {
  type InjectedFault,
  OFTEN,
  type Step,
} from "./simulated_storage_test.ts";
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
const REPLACEMENT_FACTOR = 6;
/** Steps that spend a budget, some of which check the table of shards. */
const STEPS_OF_SPENDING = 400;
const STEPS_PER_CHECK = 10;
const CHECK_INTERVAL_MS = 500;
/** Time after which a silent holder is replaced, and some more. */
const SILENCE_MS = 31_000;
/** Time after which each gateway reads the table, and some more. */
const CONFIRM_AFTER_MS = 16_000;
/** Time after a start from which lost holders are replaced, and some more. */
const CHECK_AFTER_START_MS = 5_000;
/** The gateway of the simulation that maintains the table of shards. */
const FIRST_BY_RANK = "c";
const ROUNDS_AT_BOTH = 5;
const STEPS_PER_TURN = 6;
/** Most tokens that homes hold unspent after one turn: a part of each kind. */
const MAX_HELD_TOKENS = 6;
/** Maximum runs until an injected fault must exceed the budget. */
const MAX_RUNS_PER_FAULT = 1_000;
const INJECTED_FAULTS: readonly InjectedFault[] = [
  "turns are admitted while the store is unavailable",
  "a restarted shard holder keeps its boot ID",
  "a moved account is delivered twice",
  "the holder evicts a first allowance too early",
  "writes to the store are unconditional",
  "a turn continues after it was closed",
  "grants are given before they're recorded",
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

/** Every other run replaces holders of shards more often. */
function buildRandomChoice(seed: number): ChooseStep {
  const generator = xoroshiro128plus(seed);
  const factor = seed % 2 === 0 ? 1 : REPLACEMENT_FACTOR;
  const computeWeight = ({ name, weight }: Step): number =>
    /^(check shards|time passes|kill)/.test(name) ? weight * factor : weight;
  return (steps) => {
    const weights = steps.map(computeWeight);
    const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
    let left = uniformInt(generator, 0, totalWeight - 1);
    return steps[weights.findIndex((weight) => (left -= weight) < 0)];
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

const chooseCalm: ChooseStep = (steps) =>
  chooseDelivery(steps) ?? steps.find(({ name }) => name === "forward") ??
    steps.find(({ name }) => name === "end") ??
    steps.find(({ name }) => name.startsWith("turn at"));

/** Runs a simulation whose steps a test chooses. */
async function runScript(
  fault: InjectedFault,
  script: (simulation: AccountSimulation, actor: Actor) => Promise<void>,
): Promise<Omit<Run, "branches">> {
  const time = new VirtualTime();
  const actor = new Actor(time);
  try {
    const simulation = new AccountSimulation(time, fault);
    await settle();
    await script(simulation, actor);
    return { passedTokens: simulation.passedTokens, trace: actor.trace };
  } finally {
    time.restore();
  }
}

/** Runs steps by their names. */
class Actor {
  readonly trace: string[] = [];
  readonly time: VirtualTime;

  constructor(time: VirtualTime) {
    this.time = time;
  }

  async run(step: Step | undefined): Promise<void> {
    if (step === undefined) return;
    this.trace.push(step.name);
    step.run();
    await settle();
  }

  async runNamed(simulation: AccountSimulation, name: string): Promise<void> {
    const step = simulation.listSteps()
      .find((each) => each.name.startsWith(name));
    if (step === undefined) throw new Error(`no step ${name}`);
    await this.run(step);
  }

  /** Delivers everything in flight, except what has the given name. */
  async deliverAll(simulation: AccountSimulation, except = "-"): Promise<void> {
    for (;;) {
      const steps = simulation.listSteps()
        .filter(({ name }) => !name.startsWith(except));
      const step = chooseDelivery(steps);
      if (step === undefined) return;
      await this.run(step);
    }
  }

  /** Spends all that turns are granted while gateways check their shards. */
  async spendAll(simulation: AccountSimulation): Promise<void> {
    const { time } = this;
    for (let at = 0; at < STEPS_OF_SPENDING; at += 1) {
      const isRound = at % STEPS_PER_CHECK === 0;
      if (isRound) time.advance(CHECK_INTERVAL_MS);
      const steps = simulation.listSteps();
      const checks = steps.filter(({ name }) => /check|discovers/.test(name));
      const dueTimer = time.nextAtMs <= time.nowMs ? time.nextStep : undefined;
      await this.run(
        isRound
          ? checks[(at / STEPS_PER_CHECK) % checks.length]
          : chooseDelivery(steps) ?? dueTimer ?? chooseCalm(steps),
      );
    }
  }
}

/** Runs turns, kills gateways, and spends all that can be spent then. */
function runAfterKill(
  vmIds: readonly string[],
  turnsBefore: number,
  fault: InjectedFault = "none",
): Promise<Omit<Run, "branches">> {
  return runScript(fault, async (simulation, actor) => {
    for (let turns = 0; turns < turnsBefore;) {
      const step = chooseCalm(simulation.listSteps());
      if (step?.name === "end") turns += 1;
      await actor.run(step);
    }
    simulation.killAll(vmIds);
    await settle();
    await actor.spendAll(simulation);
  });
}

/** Opens a turn at each of two gateways, then spends all at both. */
async function spendAtBoth(
  simulation: AccountSimulation,
  { actor, vmIds }: { readonly actor: Actor; readonly vmIds: string[] },
): Promise<void> {
  for (let round = 0; round < ROUNDS_AT_BOTH; round += 1) {
    for (const vmId of vmIds) {
      await actor.runNamed(simulation, `turn at ${vmId}`);
      for (let step = 0; step < STEPS_PER_TURN; step += 1) {
        await actor.deliverAll(simulation);
        await actor.run(
          simulation.listSteps().find(({ name }) => name === "forward"),
        );
      }
      await actor.run(
        simulation.listSteps().find(({ name }) => name === "end"),
      );
    }
  }
}

/**
 * The holder can't reach the other gateways, but the store and the disks. The
 * others replace it, while its table isn't old yet.
 */
function runSilentHolder(fault: InjectedFault): ReturnType<typeof runScript> {
  return runScript(fault, async (simulation, actor) => {
    const holder = simulation.findHolder("a") ?? "";
    const others = ["a", "b", "c"].filter((vmId) => vmId !== holder);
    simulation.separate(holder);
    actor.time.advance(SILENCE_MS);
    for (const vmId of [holder, ...others]) {
      await actor.runNamed(simulation, `check shards ${vmId}`);
      await actor.deliverAll(simulation);
    }
    actor.time.advance(CONFIRM_AFTER_MS);
    for (const vmId of others) {
      await actor.runNamed(simulation, `check shards ${vmId}`);
      await actor.deliverAll(simulation);
    }
    const other = others.find((vmId) =>
      simulation.findHolder(vmId) !== holder
    ) ?? "";
    expect(other, actor.trace.join(", ")).not.to.equal("");
    await spendAtBoth(simulation, { actor, vmIds: [other, holder] });
  });
}

/**
 * A late message of a former process makes the first gateway by rank believe
 * that the holder, a later process of the same VM, isn't its VM's last.
 */
function runLateMessage(fault: InjectedFault): ReturnType<typeof runScript> {
  return runScript(fault, async (simulation, actor) => {
    const vmIds = ["a", "b", "c"];
    simulation.killAll();
    await settle();
    actor.time.advance(CHECK_AFTER_START_MS);
    const check = async (except?: string): Promise<void> => {
      for (const vmId of vmIds) {
        await actor.runNamed(simulation, `check shards ${vmId}`);
        await actor.deliverAll(simulation, except);
      }
    };
    const discover = async (): Promise<void> => {
      for (const vmId of vmIds) {
        await actor.runNamed(simulation, `${vmId} discovers`);
      }
    };
    await discover();
    // The first gateway by rank must not become the holder itself.
    simulation.suspect(FIRST_BY_RANK);
    await check();
    await discover();
    await check();
    const current = simulation.findHolder("a") ?? "";
    const other = vmIds.find((vmId) => vmId !== current) ?? "";
    simulation.receiveFormer(current);
    // The holder doesn't learn of its replacement.
    await check(`share_shards to ${current}`);
    simulation.separate(current);
    await spendAtBoth(simulation, { actor, vmIds: [other, current] });
  });
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
    const run = await runSteps("none", SPENDING_STEPS, chooseCalm);
    expect(run.passedTokens, run.trace.join(", ")).to.equal(BUDGET_TOKENS);
  });

  // After a kill of gateways, programs got half of their budget for an hour.
  for (const vmIds of [["a"], ["b"], ["c"], ["a", "b", "c"]]) {
    it(`forwards the complete budget of a program that begins after a kill of ${vmIds}`, async () => {
      const run = await runAfterKill(vmIds, 0);
      expect(run.passedTokens, run.trace.join(", ")).to.equal(BUDGET_TOKENS);
    });

    // What a lost home held is lost with it, and no more than that.
    it(`loses at most what homes held to a kill of ${vmIds}`, async () => {
      const run = await runAfterKill(vmIds, 1);
      expect(run.passedTokens, run.trace.join(", "))
        .to.be.within(BUDGET_TOKENS - MAX_HELD_TOKENS, BUDGET_TOKENS);
    });
  }

  const scripts = [
    {
      name: "a kill of all gateways",
      run: (fault: InjectedFault) => runAfterKill(["a", "b", "c"], 1, fault),
      fault: "the table drops the mark of unverified shards",
    },
    {
      // A gateway that's cut off but lives goes on granting for a while.
      name: "a holder that is replaced while it's silent",
      run: runSilentHolder,
      fault: "the table drops the mark of silent holders",
    },
    {
      name: "a holder of which a late message says that it has ended",
      run: runLateMessage,
      fault: "a holder that still runs counts as ended",
    },
  ] as const;
  for (const { name, run, fault } of scripts) {
    it(`forwards no more than the budget beside ${name}`, async () => {
      const { passedTokens, trace } = await run("none");
      expect(passedTokens, trace.join(", "))
        .to.be.within(BUDGET_TOKENS / 2, BUDGET_TOKENS);
    });

    it(`exceeds the budget beside ${name} when ${fault}`, async () => {
      const { passedTokens, trace } = await run(fault);
      expect(passedTokens, trace.join(", ")).to.be.greaterThan(BUDGET_TOKENS);
    });
  }

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

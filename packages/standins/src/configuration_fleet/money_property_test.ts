/**
 * Checks budgets and charges under lost and late responses, outages and killed
 * owners: shared budgets stay within their limit, and the sums of statements
 * equal the charges.
 */
import {
  BudgetPortions,
  buildCharge,
  buildStatement,
  type ChargeBatch,
  ChargeOutbox,
  decodeBatch,
  decodeBudget,
  EMPTY_CONFIGURATION,
  formatBatchPrefix,
  formatBudgetObjectKey,
  sumBudget,
} from "@camphorlock/scheduler";
import {
  type Charge,
  type Effect,
  PARTNERS,
  type PlatformResponse,
  type PlatformToken,
} from "@camphorlock/types";
import { expect } from "chai";
import fc from "fast-check";
import { FaultPlan, type PlatformFault } from "../platform/fault_plan.ts";
import { FaultyStore } from "../platform/faulty_store.ts";
import { ObjectStore } from "../platform/object_store.ts";
import { VirtualClock } from "../fleet/virtual_clock.ts";
import { choosePartner } from "./configuration_fleet.ts";
import { VirtualPlatform } from "./virtual_platform.ts";

const RUNS = Number(process.env.CAMPHORLOCK_RUNS ?? 60);
const SEED = Number(process.env.CAMPHORLOCK_SEED ?? 20_261_204);
const FAULTS_UNTIL_MS = 60_000;
const DAY_MS = 86_400_000;
const LIMIT_MICROS = 10_000;
const KEY = "team/designers";

/** The platform under virtual time, for the roles that call it. */
class PlatformSimulation {
  readonly queue = new VirtualClock();
  readonly store = new ObjectStore();
  readonly platform: VirtualPlatform;
  readonly plan: FaultPlan;

  constructor(seed: number, faults: readonly PlatformFault[]) {
    this.plan = new FaultPlan({ seed, faults });
    const faulty = new FaultyStore(this.store, this.plan);
    this.platform = new VirtualPlatform(faulty, this.queue);
  }

  runEffects(
    effects: readonly Effect[],
    handle: (token: PlatformToken, response: PlatformResponse) => void,
  ): void {
    for (const effect of effects) {
      if (effect.kind !== "call_platform") continue;
      this.platform.send(effect.request, {
        isReachable: () => true,
        listener: (response) => handle(effect.token, response),
      });
    }
  }

  readValues(prefix: string): readonly Uint8Array[] {
    const listed = this.store.handle({ kind: "list", prefix, limit: 1_000 }, 0);
    if (listed.kind !== "listed") return [];
    return listed.keys.flatMap(({ key }) => {
      const response = this.store.handle({ kind: "get", key }, 0);
      return response.kind === "found" ? [response.object.value] : [];
    });
  }
}

const kind = fc.constantFrom<PlatformFault["kind"]>(
  "outage",
  "lost_answer",
  "late_effect",
  "slow",
);
const fault = fc.tuple(kind, fc.nat(FAULTS_UNTIL_MS), fc.nat(20_000)).map(
  ([each, fromMs, lengthMs]): PlatformFault => {
    const untilMs = Math.min(fromMs + lengthMs, FAULTS_UNTIL_MS);
    const common = { fromMs, untilMs, share: 0.5 };
    if (each === "late_effect") {
      return { kind: each, ...common, delayMs: 5_000 };
    }
    if (each === "slow") return { kind: each, ...common, maxDelayMs: 4_000 };
    return { kind: each, ...common };
  },
);
const faults = fc.array(fault, { maxLength: 6 });

/** One process that spends from the shared budget. */
class SpendingProcess {
  readonly #simulation: PlatformSimulation;
  readonly #portions: BudgetPortions;
  #isRunning = true;
  spentMicros = 0;

  constructor(
    simulation: PlatformSimulation,
    vmId: string,
    incarnation: number,
  ) {
    this.#simulation = simulation;
    this.#portions = new BudgetPortions({ vmId, incarnation });
    const limits = new Map([[KEY, LIMIT_MICROS]]);
    const present = new Set(["vm-0", "vm-1", "vm-2"]);
    this.#portions.handle({ kind: "limits", limits }, 0);
    this.#portions.handle({ kind: "members", present }, 0);
    this.#tick();
  }

  get isReturned(): boolean {
    return this.#portions.isReturned;
  }

  /** Reserves an amount and, if it is granted, spends the used part at once. */
  spend(micros: number, usedMicros: number): void {
    const { nowMs } = this.#simulation.queue;
    const result = this.#portions.reserve(KEY, { micros, nowMs });
    if (result.kind !== "reserved") return;
    this.spentMicros += usedMicros;
    this.#portions.settle(KEY, {
      reservedMicros: result.reservedMicros,
      chargeMicros: usedMicros,
    });
  }

  kill(): void {
    this.#isRunning = false;
  }

  shutDown(): void {
    this.#runEffects(
      this.#portions.handle({ kind: "stop" }, this.#simulation.queue.nowMs)
        .effects,
    );
  }

  #tick(): void {
    if (!this.#isRunning) return;
    const { nowMs } = this.#simulation.queue;
    this.#runEffects(this.#portions.handle({ kind: "tick" }, nowMs).effects);
    this.#simulation.queue.add(250, () => this.#tick());
  }

  #runEffects(effects: readonly Effect[]): void {
    this.#simulation.runEffects(effects, (token, response) => {
      if (!this.#isRunning) return;
      const input = { kind: "platform", token, answer: response } as const;
      const step = this.#portions.handle(input, this.#simulation.queue.nowMs);
      this.#runEffects(step.effects);
    });
  }
}

const spending = fc.array(
  fc.record({
    atMs: fc.nat(FAULTS_UNTIL_MS),
    vm: fc.nat(2),
    action: fc.constantFrom("spend", "spend", "spend", "restart", "leave"),
    micros: fc.integer({ min: 1, max: 1_500 }),
    used: fc.integer({ min: 0, max: 100 }),
  }),
  { minLength: 10, maxLength: 80 },
);

describe("budgets and charges under faults", () => {
  it("keeps shared budgets within their limit", () => {
    const property = fc.property(
      fc.nat(1_000_000),
      faults,
      spending,
      fc.boolean(),
      (seed, plan, steps, crashes) => {
        const simulation = new PlatformSimulation(seed, plan);
        const processes: SpendingProcess[] = [];
        const start = (vm: number): SpendingProcess => {
          const spender = new SpendingProcess(
            simulation,
            `vm-${vm}`,
            processes.length + 1,
          );
          processes.push(spender);
          return spender;
        };
        const running = [0, 1, 2].map(start);
        for (const each of [...steps].sort((a, b) => a.atMs - b.atMs)) {
          simulation.queue.runTo(each.atMs);
          const spender = running[each.vm];
          if (spender === undefined) continue;
          if (each.action === "spend") {
            const used = Math.floor(each.micros * each.used / 100);
            spender.spend(each.micros, used);
          } else if (each.action === "restart") {
            if (!crashes) continue;
            spender.kill();
            running[each.vm] = start(each.vm);
          } else spender.shutDown();
          const spent = processes.reduce(
            (sum, one) => sum + one.spentMicros,
            0,
          );
          expect(spent).to.be.at.most(LIMIT_MICROS);
        }
        simulation.plan.removeAll();
        simulation.queue.runTo(FAULTS_UNTIL_MS + 20_000);
        for (const each of running) each.shutDown();
        simulation.queue.runTo(FAULTS_UNTIL_MS + 40_000);
        const spent = processes.reduce((sum, one) => sum + one.spentMicros, 0);
        const [value] = simulation.readValues(formatBudgetObjectKey(KEY));
        const stored = value === undefined
          ? 0
          : sumBudget(decodeBudget(value)._unsafeUnwrap());
        expect(stored).to.be.at.least(spent);
        expect(stored).to.be.at.most(LIMIT_MICROS);
        for (const each of running) expect(each.isReturned).to.equal(true);
        const crashed = processes.length > running.length;
        if (!crashed) expect(stored, "all returned").to.equal(spent);
      },
    );
    fc.assert(property, { numRuns: RUNS, seed: SEED, endOnFailure: true });
  });

  it("publishes each charge once when shard owners change", () => {
    const owners = fc.array(
      fc.record({ fromMs: fc.nat(FAULTS_UNTIL_MS), stopsLate: fc.boolean() }),
      { minLength: 1, maxLength: 5 },
    );
    const ends = fc.array(
      fc.record({
        atMs: fc.nat(FAULTS_UNTIL_MS),
        micros: fc.nat(1_000_003),
        partner: fc.nat(1),
        shared: fc.boolean(),
        day: fc.nat(2),
      }),
      { minLength: 1, maxLength: 60 },
    );
    const property = fc.property(
      fc.nat(1_000_000),
      faults,
      owners,
      ends,
      (seed, plan, takeovers, calls) => {
        const simulation = new PlatformSimulation(seed, plan);
        const charges = buildCharges(calls);
        const starts = takeovers.sort((a, b) => a.fromMs - b.fromMs);
        starts.forEach(({ fromMs, stopsLate }, index) => {
          const nextMs = starts[index + 1]?.fromMs ?? Infinity;
          // A superseded owner may run on until it observes the takeover.
          const untilMs = nextMs + (stopsLate ? 10_000 : 0);
          runOutbox(simulation, {
            charges,
            fromMs,
            untilMs,
            ownsUntilMs: nextMs,
          });
        });
        simulation.queue.runTo(FAULTS_UNTIL_MS);
        simulation.plan.removeAll();
        simulation.queue.runTo(FAULTS_UNTIL_MS + 60_000);
        checkStatements(simulation, charges.map(({ charge }) => charge));
      },
    );
    fc.assert(property, { numRuns: RUNS, seed: SEED, endOnFailure: true });
  });
});

interface LedgerCharge {
  readonly atMs: number;
  readonly sequence: number;
  readonly charge: Charge;
}

function buildCharges(
  calls: readonly {
    readonly atMs: number;
    readonly micros: number;
    readonly partner: number;
    readonly shared: boolean;
    readonly day: number;
  }[],
): readonly LedgerCharge[] {
  const value = {
    ...EMPTY_CONFIGURATION,
    teams: [{ team: "joint", partner: PARTNERS[0], sharedWork: true }],
    costSplits: [{
      costClass: "shared" as const,
      shares: [
        { partner: PARTNERS[0], sharePpm: 333_333 },
        { partner: PARTNERS[1], sharePpm: 666_667 },
      ],
      remainderTo: PARTNERS[1],
      since: 3,
    }],
  };
  const sorted = [...calls].sort((a, b) => a.atMs - b.atMs);
  return sorted.map(({ atMs, micros, partner, shared, day }, index) => {
    const spec = {
      programId: `p0001-${index}`,
      partner: choosePartner(partner),
      agent: "quote",
      programClass: "short" as const,
      budgetMicros: micros,
      parallel: false,
      ...(shared ? { team: "joint" } : {}),
    };
    const charge = buildCharge(value, {
      callId: `call-${index}`,
      spec,
      micros,
      endedAtMs: DAY_MS * (20_000 + day) + atMs,
      revision: 5,
    });
    return { atMs, sequence: index * 3 + 1, charge };
  });
}

/** Runs one owner's outbox, which starts with the calls already ended. */
function runOutbox(
  simulation: PlatformSimulation,
  options: {
    readonly charges: readonly LedgerCharge[];
    readonly fromMs: number;
    readonly untilMs: number;
    /** Time of the takeover: later entries belong to the next owner. */
    readonly ownsUntilMs: number;
  },
): void {
  const { queue } = simulation;
  const { charges, fromMs, untilMs, ownsUntilMs } = options;
  const outbox = new ChargeOutbox({ shard: 7, publishEveryMs: 3_000 });
  const isRunning = (): boolean => queue.nowMs < untilMs;
  const add = ({ sequence, charge }: LedgerCharge): void => {
    if (!isRunning() || queue.nowMs >= ownsUntilMs) return;
    outbox.handle({ kind: "call_ended", sequence, charge }, queue.nowMs);
  };
  const runEffects = (effects: readonly Effect[]): void => {
    simulation.runEffects(effects, (token, response) => {
      if (!isRunning()) return;
      const input = { kind: "platform", token, answer: response } as const;
      runEffects(outbox.handle(input, queue.nowMs).effects);
    });
  };
  const tick = (): void => {
    if (!isRunning()) return;
    runEffects(outbox.handle({ kind: "tick" }, queue.nowMs).effects);
    queue.add(250, tick);
  };
  queue.add(fromMs, () => {
    for (const each of charges) {
      if (each.atMs <= queue.nowMs) add(each);
      else queue.add(each.atMs - queue.nowMs, () => add(each));
    }
    tick();
  });
}

function checkStatements(
  simulation: PlatformSimulation,
  charges: readonly Charge[],
): void {
  const batches: readonly ChargeBatch[] = simulation
    .readValues(formatBatchPrefix(7))
    .map((value) => decodeBatch(value)._unsafeUnwrap());
  const days = { from: "2000-01-01", to: "2100-01-01" };
  const charged = charges.reduce((sum, { micros }) => sum + micros, 0);
  let payable = 0;
  for (const partner of PARTNERS) {
    const statement = buildStatement(batches, { partner, ...days });
    const own = charges.flatMap(({ split }) => split)
      .filter((part) => part.partner === partner)
      .reduce((sum, { micros }) => sum + micros, 0);
    expect(statement.chargedMicros).to.equal(charged);
    expect(statement.payableMicros).to.equal(own);
    const rows = statement.rows.reduce((sum, row) => sum + row.calls, 0);
    expect(rows).to.equal(charges.length);
    payable += statement.payableMicros;
  }
  expect(payable).to.equal(charged);
}

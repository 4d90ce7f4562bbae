import { RandomSource } from "@camphorlock/scheduler/random";
import { expect } from "chai";
import {
  type Call,
  LoadSimulation,
  type Replay,
  type Result,
} from "./load_simulation_test.ts";

const SLOTS = 4;
const TARGETS = 8;
const MEAN_MS = 20;
/** Requests that all targets serve in a ms. */
const CAPACITY = SLOTS * TARGETS / MEAN_MS;
const FLEET = {
  gateways: 70,
  classes: 2,
  speeds: Array.from({ length: TARGETS }, () => 1),
  slots: SLOTS,
  maxQueued: 24,
  untilMs: 7_500,
};

interface Stream extends Partial<Call> {
  readonly perMs: number;
  readonly fromMs?: number;
  readonly toMs?: number;
  /** One in ten calls takes this times the usual work. */
  readonly tail?: number;
}

/** Builds calls that arrive at random, with work that varies by half. */
function buildCalls(streams: readonly Stream[]): Call[] {
  const random = new RandomSource(5);
  return streams.flatMap(
    ({ perMs, fromMs = 0, toMs = 6_500, tail = 1, ...given }) => {
      const calls: Call[] = [];
      const expectedMs = given.expectedMs ?? MEAN_MS;
      for (let atMs = fromMs;;) {
        atMs -= Math.log(1 - random.takeFloat()) / perMs;
        if (atMs >= toMs) return calls;
        const factor = random.takeFloat() < 0.1 ? tail : 1;
        calls.push({
          tenant: "",
          rank: 0,
          kind: "",
          objectiveMs: 150,
          limitMs: 500,
          ...given,
          atMs,
          expectedMs,
          workMs: expectedMs * factor * random.takeBetween(0.5, 1.5),
        });
      }
    },
  );
}

interface Measure {
  /** Share of the calls answered within their objectives. */
  readonly inTime: number;
  /** Share answered at all. */
  readonly served: number;
  /** 95 of 100 answered calls waited no longer. */
  readonly waitMs: number;
}

function measure(
  results: readonly Result[],
  matches: (call: Call) => boolean,
): Measure {
  const own = results.filter(({ call }) => matches(call));
  const ended = own.filter(({ call, endedAtMs }) =>
    endedAtMs !== undefined && endedAtMs <= call.atMs + call.limitMs
  );
  const inTime = ended.filter(({ call, endedAtMs }) =>
    (endedAtMs ?? 0) - call.atMs <= call.objectiveMs
  );
  const waits = ended.map(({ call, startedAtMs }) =>
    (startedAtMs ?? 0) - call.atMs
  ).sort((a, b) => a - b);
  return {
    inTime: inTime.length / own.length,
    served: ended.length / own.length,
    waitMs: Math.round(waits[Math.floor(waits.length * 0.95)] ?? 0),
  };
}

/** Replays a load with both decisions, and prints what each kind got. */
function compare(
  title: string,
  replay: Partial<Replay> & { readonly calls: readonly Call[] },
  kinds: Record<string, (call: Call) => boolean>,
): { queue: Record<string, Measure>; poll: Record<string, Measure> } {
  const run = (policy: Replay["policy"]) => {
    const results = new LoadSimulation({ ...FLEET, ...replay, policy }).run();
    const measures = Object.entries(kinds).map(([kind, matches]) => {
      const found = measure(results, matches);
      const { inTime, served, waitMs } = found;
      console.log(
        `      ${title}, ${policy}, ${kind}: in time ${inTime.toFixed(3)}, ` +
          `served ${served.toFixed(3)}, p95 wait ${waitMs} ms`,
      );
      return [kind, found] as const;
    });
    return Object.fromEntries(measures);
  };
  return { poll: run("poll"), queue: run("queue") };
}

const ofClass = (rank: number) => (call: Call) => call.rank === rank;
const inCrest = ({ atMs }: Call) => atMs >= 2_000 && atMs < 6_000;

function get(measures: Record<string, Measure>, kind: string): Measure {
  const found = measures[kind];
  if (found === undefined) throw new Error(`no measure of ${kind}`);
  return found;
}

describe("a replayed load", function () {
  this.timeout(60_000);

  // Urgent calls waited at the targets behind all others, and nobody was
  // answered in time.
  it("keeps urgent calls in time in a crest of 2.1 times", () => {
    const share = 0.8 * CAPACITY / 2;
    const crest = { fromMs: 2_000, toMs: 6_000, perMs: share * 1.1 };
    const calls = buildCalls([
      { rank: 0, perMs: share },
      { rank: 1, perMs: share },
      { rank: 0, ...crest },
      { rank: 1, ...crest },
    ]);
    const { queue, poll } = compare("crest", { calls }, {
      urgent: (call) => inCrest(call) && ofClass(0)(call),
      other: (call) => inCrest(call) && ofClass(1)(call),
      all: inCrest,
    });
    const urgent = get(queue, "urgent");
    const other = get(queue, "other");
    expect(urgent.inTime).to.be.above(get(poll, "urgent").inTime + 0.4);
    expect(urgent.served).to.be.above(other.served - 0.05);
    // No class is served less than a quarter as often as all together.
    expect(other.served).to.be.above(get(queue, "all").served / 4);
    expect(get(queue, "all").served).to.be.above(
      get(poll, "all").served * 0.95,
    );
  });

  // One tenant took the places of all others by its number of calls.
  it("protects tenants from one with 7.5 times its usual work", () => {
    const perMs = 0.75 * CAPACITY / 10;
    const tenants = Array.from({ length: 10 }, (_, index) => `t${index}`);
    const calls = buildCalls([
      ...tenants.map((tenant) => ({ tenant, perMs })),
      { tenant: "t0", perMs: perMs * 6.5, fromMs: 2_000, toMs: 6_000 },
    ]);
    const { queue, poll } = compare("hot tenant", { calls, classes: 1 }, {
      hot: (call) => inCrest(call) && call.tenant === "t0",
      others: (call) => inCrest(call) && call.tenant !== "t0",
      all: inCrest,
    });
    const others = get(queue, "others");
    expect(others.inTime).to.be.above(get(poll, "others").inTime + 0.05);
    expect(others.served).to.be.above(get(queue, "hot").served);
    expect(get(queue, "hot").served).to.be.above(
      get(queue, "all").served / 4,
    );
  });

  // Short calls with a tight objective waited behind long ones.
  it("keeps short urgent calls ahead of a heavy tail", () => {
    const calls = buildCalls([
      {
        kind: "short",
        rank: 0,
        expectedMs: 6.5,
        objectiveMs: 108,
        limitMs: 324,
        perMs: 0.2 * CAPACITY * MEAN_MS / 6.5,
      },
      { kind: "long", rank: 1, tail: 8, limitMs: 1_000, perMs: CAPACITY * 0.6 },
    ]);
    const { queue, poll } = compare("heavy tail", { calls }, {
      short: ({ kind }) => kind === "short",
      long: ({ kind }) => kind === "long",
    });
    const short = get(queue, "short");
    expect(short.inTime).to.be.above(get(poll, "short").inTime + 0.3);
    expect(short.waitMs).to.be.below(get(poll, "short").waitMs);
  });

  // A slow target's queue held requests that others could have served.
  it("loses nothing to a slow target", () => {
    const speeds = [1, 1, 1, 1, 1, 1, 1, 0.2];
    const perMs = 0.9 * CAPACITY * 7.2 / 8 / 2;
    const calls = buildCalls([{ rank: 0, perMs }, { rank: 1, perMs }]);
    const { queue, poll } = compare("slow target", { calls, speeds }, {
      urgent: ofClass(0),
      other: ofClass(1),
    });
    expect(get(queue, "urgent").inTime).to.be.at.least(
      get(poll, "urgent").inTime - 0.005,
    );
    expect(get(queue, "other").served).to.be.above(0.9);
  });

  // Programs that had begun lost their work to new ones, so that none ended.
  it("finishes begun programs after half of the targets are lost", () => {
    const perMs = 0.8 * CAPACITY / 2;
    const calls = buildCalls([
      { kind: "begun", hasBegun: true, rank: 0, limitMs: 800, perMs },
      { kind: "new", rank: 0, limitMs: 800, perMs },
    ]);
    const replay = { calls, classes: 1, lossAtMs: 2_001 };
    const { queue, poll } = compare("half lost", replay, {
      begun: ({ kind, atMs }) => kind === "begun" && atMs > 2_100,
      new: ({ kind, atMs }) => kind === "new" && atMs > 2_100,
      all: ({ atMs }) => atMs > 2_100,
    });
    expect(get(queue, "begun").served).to.be.above(get(queue, "new").served);
    expect(get(queue, "begun").inTime).to.be.above(
      get(poll, "begun").inTime + 0.3,
    );
    expect(get(queue, "all").served).to.be.above(
      get(poll, "all").served * 0.95,
    );
  });
});

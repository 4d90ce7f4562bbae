import { expect } from "chai";
import {
  Simulation,
  type SimulationOptions,
  type SimulationResult,
} from "./simulated_gateways_test.ts";

/** Seventy gateways and thirty engines that read long prompts slowly. */
const BASE: Omit<SimulationOptions, "decisions" | "speeds"> = {
  gateways: 70,
  engines: 30,
  slots: 12,
  memoryTokens: 283_000,
  prefillTokensPerMs: 163,
  stepMs: 1.26,
  load: 0.75,
  sharedParts: 6,
  events: 10,
  tokensPerEvent: 27,
  durationMs: 10_000,
  seed: 1,
};

/** One engine in four at less than half the speed of the others. */
const UNEVEN = (engine: number) => engine % 4 === 0 ? 0.55 : 1.2;
const EVEN = () => 1;

/** Replays a load with the decisions before and after, and prints both. */
function compare(
  change: Partial<SimulationOptions> & Pick<SimulationOptions, "speeds">,
  decisions: SimulationOptions["decisions"] = "view",
): { before: SimulationResult; after: SimulationResult } {
  const before = run({ ...BASE, ...change, decisions: "fixed" });
  return { before, after: run({ ...BASE, ...change, decisions }) };
}

function run(options: SimulationOptions): SimulationResult {
  const result = new Simulation(options).run();
  const { meanMs, lateMs, readTokens, longestQueue } = result;
  console.log(
    `      ${options.decisions}: mean ${Math.round(meanMs)} ms, 95 % ` +
      `${Math.round(lateMs)} ms, read ${Math.round(readTokens / 1_000)} k, ` +
      `queue ${longestQueue}`,
  );
  return result;
}

/** Pareto-like durations with a mean near 27 ms, up to 300 ms. */
function computeTailMs(random: number): number {
  return Math.min(300, 12 / (1 - random) ** 0.6);
}

describe("placement by learned cost, beside fixed costs", () => {
  // Slow engines got as many requests as their delay allowed, and these took
  // more than twice as long.
  it("uses engines of uneven speeds by their speeds", () => {
    const { before, after } = compare({ speeds: UNEVEN });
    expect(after.meanMs).to.be.below(before.meanMs * 0.95);
    expect(after.lateMs).to.be.below(before.lateMs * 0.85);
  });

  // A learned preference must not keep what has turned slow in use.
  it("leaves engines that turn slow", () => {
    const speeds = (engine: number, nowMs: number) =>
      engine < 3 && nowMs > 3_000 ? 0.3 : 1;
    const { before, after } = compare({ speeds });
    expect(after.laterMeanMs).to.be.below(before.laterMeanMs);
    expect(after.lateMs).to.be.below(before.lateMs);
  });

  // Short phases must not throw the costs off.
  it("isn't worse while engines have slow phases", () => {
    const speeds = (engine: number, nowMs: number) =>
      UNEVEN(engine) *
      ((Math.floor(nowMs / 400) + engine * 7) % 13 === 0 ? 0.4 : 1);
    const { before, after } = compare({ speeds });
    expect(after.meanMs).to.be.below(before.meanMs);
  });

  // With half of the requests in one domain, its own targets were overfilled.
  it("spreads the requests of a hot domain", () => {
    const { before, after } = compare({ speeds: UNEVEN, hotDomainShare: 0.5 });
    expect(after.meanMs).to.be.below(before.meanMs);
    expect(after.longestQueue).to.be.at.most(before.longestQueue * 1.1);
  });

  // Where nothing differs, what is learned must cost nothing.
  it("isn't worse among equal engines", () => {
    const { before, after } = compare({ speeds: EVEN });
    expect(after.meanMs).to.be.below(before.meanMs * 1.02);
    expect(after.longestQueue).to.be.at.most(before.longestQueue * 1.1);
  });

  // All gateways see the same free target at the same moment.
  it("doesn't fill one target from all gateways under a high load", () => {
    const { before, after } = compare({ speeds: UNEVEN, load: 0.95 });
    expect(after.longestQueue).to.be.at.most(before.longestQueue);
    expect(after.meanMs).to.be.below(before.meanMs);
  });

  // Engines that can't keep all shared parts read them again and again.
  it("lets the requests of a shared part meet if memory is short", () => {
    const { before, after } = compare({
      speeds: EVEN,
      slots: 8,
      memoryTokens: 130_000,
      prefillTokensPerMs: 368,
      stepMs: 0.758,
      sharedParts: 16,
      events: 6,
      tokensPerEvent: 46,
      load: 0.7,
    });
    expect(after.readTokens).to.be.below(before.readTokens * 0.85);
    expect(after.meanMs).to.be.below(before.meanMs * 1.02);
  });

  // The longest calls hold a slot ten times as long as the others.
  it("isn't worse with a heavy tail of plain calls", () => {
    const { before, after } = compare({
      speeds: UNEVEN,
      slots: 6,
      engines: 7,
      load: 0.6,
      callMs: computeTailMs,
    });
    expect(after.meanMs).to.be.below(before.meanMs * 1.05);
  });

  // Without a collector, each gateway has its own observations only.
  it("isn't much worse while there is no view", () => {
    const { before, after } = compare({ speeds: UNEVEN }, "own");
    expect(after.meanMs).to.be.below(before.meanMs * 1.05);
  });

  it("goes on when the collector is lost for seconds", () => {
    const hasCollector = (nowMs: number) => nowMs < 3_000 || nowMs > 6_000;
    const { before, after } = compare({ speeds: UNEVEN, hasCollector });
    expect(after.meanMs).to.be.below(before.meanMs * 1.02);
  });

  // A view that is late by half a second shows targets as idle that others have
  // filled since.
  it("isn't led astray by a stale view", () => {
    const { before, after } = compare({ speeds: UNEVEN, lagMs: 500 });
    expect(after.meanMs).to.be.below(before.meanMs * 1.05);
    expect(after.longestQueue).to.be.at.most(before.longestQueue * 1.5);
  });
}).timeout(120_000);

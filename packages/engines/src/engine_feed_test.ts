import { createFailure } from "@camphorlock/codes";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import {
  EngineFeed,
  type EngineReport,
  type ReportReader,
} from "./engine_feed.ts";

const LOAD = { running: 1, waiting: 2, memoryUsedTokens: 3 };

describe("engine feed", () => {
  let reports: EngineReport[];
  let asked: string[];
  let broken: Set<string>;
  let waiting: (() => void)[] | undefined;

  beforeEach(() => {
    reports = [];
    asked = [];
    broken = new Set();
    waiting = undefined;
  });

  function createFeed(maxReads = 10): EngineFeed {
    return new EngineFeed({
      findReader: createReader,
      onReport: (report) => reports.push(report),
      periodMs: 100,
      maxReads,
    });
  }

  function createReader(targetId: string): ReportReader {
    return {
      readLoad: async () => {
        asked.push(`${targetId} load`);
        await new Promise<void>((resolve) =>
          waiting === undefined ? resolve() : waiting.push(resolve)
        );
        const failure = createFailure("TargetBroken", "gone");
        return broken.has(targetId) ? err(failure) : ok(LOAD);
      },
      readCacheEvents: (after) => {
        asked.push(`${targetId} after ${after}`);
        const lastNumber = after + 2;
        return Promise.resolve(ok({ events: [], lastNumber, missing: 2 }));
      },
    };
  }

  function settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  it("spreads reads over the period and asks after the last event", async () => {
    const feed = createFeed();
    feed.setTargets(["a", "b"], 0);
    feed.handleTick(49);
    expect(asked).to.deep.equal([]);
    for (const nowMs of [50, 100, 150]) {
      feed.handleTick(nowMs);
      await settle();
    }
    expect(asked).to.deep.equal([
      "a load",
      "a after 0",
      "b load",
      "b after 0",
      "a load",
      "a after 2",
    ]);
    expect(reports[0]).to.deep.equal({
      kind: "load",
      targetId: "a",
      load: LOAD,
    });
    expect(reports[1]).to.include({ kind: "cache_events", missing: 2 });
  });

  it("reads one engine once at a time and few at all", async () => {
    waiting = [];
    const feed = createFeed(2);
    feed.setTargets(["a", "b", "c"], 0);
    feed.handleTick(1_000);
    feed.handleTick(2_000);
    await settle();
    expect(asked).to.deep.equal(["a load", "b load"]);
    for (const wake of waiting.splice(0)) wake();
    waiting = undefined;
    await settle();
    feed.handleTick(2_000);
    await settle();
    expect(asked).to.include("c load");
  });

  it("tells an engine that can't be read, and goes on", async () => {
    broken.add("a");
    const feed = createFeed();
    feed.setTargets(["a"], 0);
    feed.handleTick(100);
    await settle();
    broken.clear();
    feed.handleTick(200);
    await settle();
    expect(reports.map(({ kind }) => kind)).to.deep.equal([
      "unreadable",
      "load",
      "cache_events",
    ]);
  });

  it("reports nothing of an engine that it no longer feeds on", async () => {
    waiting = [];
    const feed = createFeed();
    feed.setTargets(["a"], 0);
    feed.handleTick(100);
    feed.setTargets([], 100);
    for (const wake of waiting.splice(0)) wake();
    await settle();
    expect(reports).to.deep.equal([]);
  });
});

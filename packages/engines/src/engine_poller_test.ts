import { createFailure } from "@camphorlock/codes";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import {
  EnginePoller,
  type EngineReport,
  type ReportReader,
} from "./engine_poller.ts";

const LOAD = { running: 1, waiting: 2, memoryUsedTokens: 3 };

describe("engine poller", () => {
  let reports: EngineReport[];
  let requests: string[];
  let failing: Set<string>;
  let pendingReads: (() => void)[] | undefined;

  beforeEach(() => {
    reports = [];
    requests = [];
    failing = new Set();
    pendingReads = undefined;
  });

  function createPoller(maxConcurrentReads = 10): EnginePoller {
    return new EnginePoller({
      findReader: createReader,
      onReport: (report) => reports.push(report),
      periodMs: 100,
      maxConcurrentReads,
    });
  }

  function createReader(targetId: string): ReportReader {
    return {
      readLoad: async () => {
        requests.push(`${targetId} load`);
        await new Promise<void>((resolve) =>
          pendingReads === undefined ? resolve() : pendingReads.push(resolve)
        );
        const failure = createFailure("TargetBroken", "closed");
        return failing.has(targetId) ? err(failure) : ok(LOAD);
      },
      readCacheEvents: (after) => {
        requests.push(`${targetId} after ${after}`);
        const lastNumber = after + 2;
        return Promise.resolve(ok({ events: [], lastNumber, missing: 2 }));
      },
    };
  }

  function settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  it("spreads reads over the period and continues after the last event", async () => {
    const poller = createPoller();
    poller.setTargets(["a", "b"], 0);
    poller.handleTick(49);
    expect(requests).to.deep.equal([]);
    for (const nowMs of [50, 100, 150]) {
      poller.handleTick(nowMs);
      await settle();
    }
    expect(requests).to.deep.equal([
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

  it("reads each engine once at a time and limits concurrent reads", async () => {
    pendingReads = [];
    const poller = createPoller(2);
    poller.setTargets(["a", "b", "c"], 0);
    poller.handleTick(1_000);
    poller.handleTick(2_000);
    await settle();
    expect(requests).to.deep.equal(["a load", "b load"]);
    for (const finishRead of pendingReads.splice(0)) finishRead();
    pendingReads = undefined;
    await settle();
    poller.handleTick(2_000);
    await settle();
    expect(requests).to.include("c load");
  });

  it("reports an unreadable engine and keeps polling it", async () => {
    failing.add("a");
    const poller = createPoller();
    poller.setTargets(["a"], 0);
    poller.handleTick(100);
    await settle();
    failing.clear();
    poller.handleTick(200);
    await settle();
    expect(reports.map(({ kind }) => kind)).to.deep.equal([
      "unreadable",
      "load",
      "cache_events",
    ]);
  });

  it("reports nothing of an engine that is no longer polled", async () => {
    pendingReads = [];
    const poller = createPoller();
    poller.setTargets(["a"], 0);
    poller.handleTick(100);
    poller.setTargets([], 100);
    for (const finishRead of pendingReads.splice(0)) finishRead();
    await settle();
    expect(reports).to.deep.equal([]);
  });
});

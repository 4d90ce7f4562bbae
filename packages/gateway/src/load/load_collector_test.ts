import { expect } from "chai";
import { LoadCollector, REPORT_LIFE_MS } from "./load_collector.ts";
import type { TargetReport } from "./load_messages.ts";
import { LoadView, MAX_VIEW_AGE_MS } from "./load_view.ts";

const MEMORY_TOKENS = 100_000;
const SHARED = 12_000;

function buildReport(
  id: string,
  running: number,
  { part, sentTokens = 1_000 }: { part?: string; sentTokens?: number } = {},
): TargetReport {
  const parts = part === undefined ? [] : [[part, SHARED, 0] as const];
  return [id, running, running * 100, running * 1_500, sentTokens, 0, 0, parts];
}

describe("the collector of the targets' load", () => {
  let collector: LoadCollector;

  beforeEach(() => {
    collector = new LoadCollector(() => MEMORY_TOKENS);
  });

  /** Reports and returns the load of the others at one target. */
  function report(vmId: string, targets: TargetReport[], nowMs: number) {
    const answer = collector.answer(vmId, { targets, wanted: ["t1"] }, nowMs);
    return answer.targets[0];
  }

  // A gateway that counted its own requests twice avoided its own targets.
  it("leaves out the report of the one who asks", () => {
    report("g1", [buildReport("t1", 3)], 0);
    expect(report("g2", [buildReport("t1", 2)], 10)?.[1]).to.equal(3);
    expect(report("g1", [buildReport("t1", 4)], 20)?.slice(1, 4))
      .to.deep.equal([2, 200, 3_000]);
  });

  // Work of a lost gateway would keep a target out of use for good.
  it("forgets a report that isn't repeated", () => {
    report("g1", [buildReport("t1", 3)], 0);
    expect(report("g2", [], REPORT_LIFE_MS + 1)?.[1]).to.equal(0);
  });

  // A collector that has just become one can't know what a sender uses.
  it("asks a sender that it doesn't know for its targets", () => {
    const answer = collector.answer("g1", { targets: [] }, 0);
    expect(answer.needsWanted).to.equal(true);
    collector.answer("g1", { targets: [], wanted: ["t1"] }, 0);
    const next = collector.answer("g1", { targets: [] }, 200);
    expect(next.needsWanted).to.equal(false);
  });

  // Requests went where a part had long been displaced.
  it("names a part until the target's memory was used by others", () => {
    report("g1", [buildReport("t1", 1, { part: "p" })], 0);
    expect(report("g2", [], 10)?.[6]).to.deep.equal([["p", SHARED, 0]]);
    report("g1", [buildReport("t1", 1, { sentTokens: 90_000 })], 20);
    expect(report("g2", [], 30)?.[6]).to.deep.equal([]);
  });

  // Both regions' requests count against one target's memory and slots.
  it("adds the sums of other regions, until they stop", () => {
    const other = new LoadCollector(() => MEMORY_TOKENS);
    other.answer("h1", { targets: [buildReport("t1", 5)], wanted: [] }, 0);
    const shared = other.listUnshared("c1", 0);
    collector.applySums("c2", shared, 8);
    other.recordShared("c1", shared.sums);
    expect(other.listUnshared("c1", 10).sums).to.deep.equal([]);
    expect(report("g1", [buildReport("t1", 1)], 10)?.[1]).to.equal(5);
    other.answer("h1", { targets: [], wanted: [] }, 200);
    const idle = other.listUnshared("c1", 200);
    expect(idle.sums.map((sum) => sum[1])).to.deep.equal([0]);
    expect(report("g1", [], REPORT_LIFE_MS + 9)?.[1]).to.equal(0);
  });

  it("sends all sums again to a collector that didn't respond", () => {
    collector.answer("g1", { targets: [buildReport("t1", 5)] }, 0);
    const { sums } = collector.listUnshared("c2", 0);
    collector.recordShared("c2", sums);
    collector.recordUnshared("c2");
    expect(collector.listUnshared("c2", 200).sums).to.deep.equal(sums);
  });
});

describe("the cost of the collector", () => {
  /** Measures a report on ten targets, with the answer on 60, and its bytes. */
  function measureReport(targets: number): { costUs: number; bytes: number } {
    const collector = new LoadCollector(() => MEMORY_TOKENS);
    const wanted = Array.from({ length: 60 }, (_, at) => `target-${at}`);
    for (let at = 0; at < targets; at += 1) {
      collector.answer(`g${at % 60}`, {
        targets: [buildReport(`target-${at}`, 1, { part: `p${at % 6}` })],
        wanted,
      }, 0);
    }
    let bytes = 0;
    const startedAtMs = performance.now();
    for (let report = 0; report < 3_000; report += 1) {
      const own = Array.from(
        { length: 10 },
        (_, at) =>
          buildReport(`target-${(report * 10 + at) % targets}`, 1, {
            part: `p${at % 6}`,
          }),
      );
      const message = JSON.stringify({ targets: own });
      const answer = JSON.stringify(
        collector.answer(`g${report % 60}`, JSON.parse(message), report * 3),
      );
      bytes = Math.max(bytes, message.length + answer.length);
    }
    return { costUs: (performance.now() - startedAtMs) / 3, bytes };
  }

  // A collector on a quarter of a core serves up to 70 gateways of its region.
  it("doesn't grow with the targets, and fits a small VM", () => {
    const costs = [60, 600, 12_000].map((targets) => {
      const cost = measureReport(targets);
      console.log(
        `      ${targets} targets: ${cost.costUs.toFixed(0)} us and at most ` +
          `${cost.bytes} bytes a report`,
      );
      return cost;
    });
    expect(costs[2]?.costUs).to.be.below(2 * (costs[0]?.costUs ?? 0));
    // Five reports a second within 20 KB/s, on the gateway that reports.
    expect(Math.max(...costs.map(({ bytes }) => bytes))).to.be.below(4_096);
  });
});

describe("the view of the targets' load", () => {
  // An old view sends requests to targets that others have filled since.
  it("isn't used once it's too old, with the time on the way", () => {
    const view = new LoadView(() => ({ service: "s", slots: 4 }));
    expect(view.find("t1", 0)).to.equal(undefined);
    view.set({
      targets: [["t1", 3, 300, 4_500, 0, 0, [["p", SHARED, 1]]]],
      ageMs: 300,
      needsWanted: false,
    }, 1_000);
    expect(view.find("t1", 1_100)?.running).to.equal(3);
    expect(view.find("t2", 1_100)?.running).to.equal(0);
    expect(view.computeAgeMs(1_100)).to.equal(400);
    const endMs = 1_000 - 300 + MAX_VIEW_AGE_MS;
    expect(view.find("t1", endMs + 1)).to.equal(undefined);
  });
});

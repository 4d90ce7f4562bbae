import { expect } from "chai";
import { PathMonitor } from "./path_monitor.ts";

const TARGETS = ["a:1", "b:1", "c:1", "d:1"];

describe("the monitor of the paths to targets", () => {
  let monitor: PathMonitor;

  beforeEach(() => monitor = new PathMonitor());

  function recordUnreached(address: string, nowMs: number): boolean {
    return monitor.recordUnreached(address, nowMs, TARGETS.length);
  }

  it("counts the gateway as cut off after several targets in a row", () => {
    monitor.recordContact(0);
    expect(recordUnreached("a:1", 10)).to.equal(false);
    expect(recordUnreached("a:1", 20)).to.equal(false);
    expect(recordUnreached("b:1", 30)).to.equal(false);
    expect(monitor.state).to.equal("direct");
    expect(recordUnreached("c:1", 40)).to.equal(true);
    expect(monitor.isDirect("d:1", 50)).to.equal(false);
    expect(monitor.recordConnected("d:1", 60)).to.equal(true);
    expect(monitor.isDirect("a:1", 70)).to.equal(true);
  });

  it("doesn't while anything arrives from a target", () => {
    for (let at = 0; at < 10; at += 1) {
      expect(recordUnreached(TARGETS[at % 3] ?? "", at * 10)).to.equal(false);
      if (at % 2 === 1) monitor.recordContact(at * 10 + 5);
    }
    expect(monitor.state).to.equal("direct");
  });

  it("avoids a target that can't be connected to, for a while", () => {
    recordUnreached("a:1", 1_000);
    monitor.recordContact(1_010);
    expect(monitor.isDirect("a:1", 1_500)).to.equal(false);
    expect(monitor.isDirect("b:1", 1_500)).to.equal(true);
    expect(monitor.isDirect("a:1", 2_100)).to.equal(true);
  });

  // Idle connections of before a cut take requests without a connection that
  // fails.
  it("has targets probed when an exchange gets no answer, and all are silent", () => {
    monitor.recordContact(0);
    const exchange = {};
    monitor.recordStart(exchange, 100);
    expect(monitor.planProbes(TARGETS, 500)).to.deep.equal([]);
    expect(monitor.planProbes(TARGETS, 700)).to.have.length(3);
    expect(monitor.planProbes(TARGETS, 750)).to.deep.equal([]);
    monitor.recordContact(800);
    expect(monitor.planProbes(TARGETS, 1_200)).to.deep.equal([]);
    monitor.recordEnd(exchange);
    expect(monitor.planProbes(TARGETS, 9_000)).to.deep.equal([]);
  });

  it("has other targets probed after one that can't be connected to", () => {
    recordUnreached("b:1", 100);
    expect(monitor.planProbes(TARGETS, 110)).to.have.members([
      "a:1",
      "c:1",
      "d:1",
    ]);
  });

  it("looks for a target that's reached again, one after another", () => {
    for (const address of TARGETS) recordUnreached(address, 10);
    const probed = [0, 1, 2, 3].map((at) =>
      monitor.planProbes(TARGETS, 100 + at * 500)
    );
    expect(probed.flat()).to.have.members(TARGETS);
  });

  it("needs two targets where there are no more, and never takes one for all", () => {
    expect(monitor.recordUnreached("a:1", 10, 1)).to.equal(false);
    expect(monitor.recordUnreached("b:1", 20, 2)).to.equal(true);
  });
});

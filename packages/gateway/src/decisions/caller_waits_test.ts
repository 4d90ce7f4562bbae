import { expect } from "chai";
import { ByteBudget } from "./byte_budget.ts";
import { CallerWaits } from "./caller_waits.ts";

const MB = 1_000_000;

// Bodies that never ended held all bytes until their route's timeout.
describe("exchanges that wait for their callers", () => {
  it("are evicted in order of their last progress, which a byte isn't", () => {
    const waits = new CallerWaits();
    const evicted: string[] = [];
    const open = (name: string, atMs: number) =>
      waits.open(atMs, () => evicted.push(name));
    const slow = open("slow", 0);
    const steady = open("steady", 10);
    open("still", 20);
    for (let atMs = 100; atMs < 1_000; atMs += 100) {
      slow.recordProgress(1, atMs);
      steady.recordProgress(20_000, atMs);
    }
    while (waits.evictLongest(1_000));
    expect(evicted).to.deep.equal(["slow", "still"]);
    expect(waits.evictLongest(1_149)).to.equal(false);
    expect(waits.evictLongest(1_150)).to.equal(true);
    expect(evicted).to.deep.equal(["slow", "still", "steady"]);
  });

  it("aren't evicted once they have ended, or just after they began", () => {
    const waits = new CallerWaits();
    const wait = waits.open(0, () => expect.fail("evicted"));
    expect(waits.evictLongest(249)).to.equal(false);
    wait.end();
    wait.recordProgress(MB, 300);
    expect(waits.evictLongest(9_000)).to.equal(false);
    expect(waits.size).to.equal(0);
  });

  it("make room for another exchange, and for no more than it needs", () => {
    const waits = new CallerWaits();
    const budget = new ByteBudget(40 * MB, () => waits.evictLongest(1_000));
    const stalled = Array.from({ length: 7 }, () => budget.open());
    for (const share of stalled) {
      expect(share.reserve(4 * MB)).to.equal(true);
      waits.open(0, () => share.close());
    }
    const ordinary = budget.open();
    expect(ordinary.reserve(6 * MB)).to.equal(true);
    expect(waits.size).to.equal(6);
    expect(budget.usedBytes).to.equal(30 * MB);
  });

  it("aren't evicted for what never fits", () => {
    const waits = new CallerWaits();
    const budget = new ByteBudget(40 * MB, () => waits.evictLongest(1_000));
    waits.open(0, () => expect.fail("evicted"));
    expect(budget.open().reserve(31 * MB)).to.equal(false);
  });

  it("make room for exchanges that wait for bytes", () => {
    let nowMs = 0;
    const waits = new CallerWaits();
    const budget = new ByteBudget(8 * MB, () => waits.evictLongest(nowMs));
    const stalled = budget.open();
    stalled.reserve(5 * MB);
    waits.open(nowMs, () => stalled.close());
    let isReserved = false;
    budget.open().wait(4 * MB, () => isReserved = true);
    budget.resumeWaiting();
    expect(isReserved).to.equal(false);
    nowMs = 250;
    budget.resumeWaiting();
    expect(isReserved).to.equal(true);
    expect(budget.usedBytes).to.equal(4 * MB);
  });
});

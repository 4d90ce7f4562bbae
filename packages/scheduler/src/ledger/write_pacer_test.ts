import { expect } from "chai";
import { WritePacer } from "./mod.ts";

const STORED = { kind: "stored", key: "k", version: 1 } as const;
const LIMITED = { kind: "failed", reason: "rate_limited" } as const;
const REFUSED = { kind: "failed", reason: "refused" } as const;

/** Requests writes for each shard every 10 ms and counts those granted. */
function countWrites(
  pacer: WritePacer,
  options: { readonly shards: number; readonly durationMs: number },
): number[] {
  const counts: number[] = new Array(options.shards).fill(0);
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += 10) {
    for (let shard = 0; shard < options.shards; shard += 1) {
      if (!pacer.acquireWrite(shard, "regular", nowMs)) continue;
      counts[shard] = (counts[shard] ?? 0) + 1;
    }
  }
  return counts;
}

describe("the write pacer", () => {
  it("shares the rate evenly", () => {
    const pacer = new WritePacer({ writesPerSecond: 10 });
    const counts = countWrites(pacer, { shards: 8, durationMs: 20_000 });
    const sum = counts.reduce((total, each) => total + each, 0);
    expect(sum).to.be.within(195, 205);
    expect(Math.max(...counts) - Math.min(...counts)).to.be.at.most(1);
  });

  it("grants urgent writers first", () => {
    const pacer = new WritePacer({ writesPerSecond: 1 });
    pacer.acquireWrite(0, "regular", 0);
    expect(pacer.acquireWrite(1, "regular", 1)).to.equal(false);
    expect(pacer.acquireWrite(2, "urgent", 2)).to.equal(false);
    expect(pacer.acquireWrite(1, "regular", 1_100)).to.equal(false);
    expect(pacer.acquireWrite(2, "urgent", 1_100)).to.equal(true);
  });

  it("doesn't wait for a writer that left the queue", () => {
    const pacer = new WritePacer({ writesPerSecond: 1 });
    pacer.acquireWrite(0, "regular", 0);
    pacer.acquireWrite(1, "regular", 0);
    pacer.acquireWrite(2, "regular", 0);
    pacer.cancelWrite(1);
    expect(pacer.acquireWrite(2, "regular", 1_000)).to.equal(true);
  });

  it("lowers the rate when the platform limits it, and recovers", () => {
    const pacer = new WritePacer({ writesPerSecond: 64 });
    pacer.recordResponse(LIMITED, 0);
    expect(pacer.writesPerSecond).to.equal(32);
    for (let each = 0; each < 10; each += 1) pacer.recordResponse(LIMITED, 0);
    expect(pacer.writesPerSecond).to.equal(4);
    for (let each = 0; each < 60; each += 1) pacer.recordResponse(STORED, 0);
    expect(pacer.writesPerSecond).to.equal(64);
  });

  it("probes a failing platform after bounded pauses", () => {
    const pacer = new WritePacer({ writesPerSecond: 100 });
    let probes = 0;
    for (let nowMs = 0; nowMs < 120_000; nowMs += 10) {
      for (let shard = 0; shard < 5; shard += 1) {
        if (!pacer.acquireWrite(shard, "urgent", nowMs)) continue;
        probes += 1;
        pacer.recordResponse(REFUSED, nowMs);
      }
    }
    expect(probes).to.be.within(14, 25);
    pacer.recordResponse(STORED, 120_000);
    expect(pacer.isPaused(120_000)).to.equal(false);
  });
});

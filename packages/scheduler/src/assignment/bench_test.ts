import { expect } from "chai";
import { runAssignmentBench } from "./bench.ts";

describe("shard assignment benchmark", () => {
  it("keeps the rates of platform calls within bounds", () => {
    const result = runAssignmentBench({
      nodes: 6,
      failureDomains: 3,
      seed: 3,
      settings: { shardCount: 64, groupSize: 16 },
      readCpuMs: () => 0,
    });
    expect(result.waitingWatches).to.equal(6);
    expect(result.idle.readsPerSecond).to.be.below(1);
    expect(result.idle.writesPerSecond).to.be.below(0.1);
    expect(result.domainLoss.writesPerSecond).to.be.below(10);
    expect(result.takeoverMs).to.be.below(8_000);
    expect(result.afterOutageMs).to.be.below(20_000);
    expect(result.moves).to.be.at.least(result.movesNeeded);
  });
});

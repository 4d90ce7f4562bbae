import { expect } from "chai";
import { runMembershipBench } from "./bench.ts";

describe("membership bench", () => {
  it("bounds the cost of membership and the time to detect a killed node", () => {
    const result = runMembershipBench({
      nodes: 24,
      failureDomains: 6,
      seed: 3,
      readCpuMs: () => 0,
    });
    expect(result.joinMs).to.be.below(5_000);
    expect(result.bytesPerSecondPerNode).to.be.within(1, 5_000);
    expect(result.firstDeadMs).to.be.within(1, 3_000);
    expect(result.allDeadMs).to.be.below(3_500);
    expect(result.falseDeaths).to.equal(0);
  });
});

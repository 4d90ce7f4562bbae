/**
 * Tests on a small fleet that changes come into force on every node in time.
 */
import { expect } from "chai";
import { runConfigurationBench } from "./configuration_bench.ts";

const IN_FORCE_WITHIN_MS = 5_000;

describe("runConfigurationBench", () => {
  it("puts changes into force on nine nodes within five seconds", () => {
    const result = runConfigurationBench({
      nodes: 9,
      regions: 3,
      targets: 12,
      changes: 5,
      changesPerDay: 11_000,
      seed: 3,
    });
    expect(result.inForceMaxMs).to.be.at.most(IN_FORCE_WITHIN_MS);
    expect(result.evidenceMaxMs).to.be.at.most(IN_FORCE_WITHIN_MS);
    expect(result.platformCallsPerChange).to.be.lessThan(60);
  });
});

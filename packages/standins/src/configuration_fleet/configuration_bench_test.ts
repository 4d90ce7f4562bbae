/**
 * Tests that a change is in force everywhere in time, at a small size.
 */
import { expect } from "chai";
import { runConfigurationBench } from "./configuration_bench.ts";

const IN_FORCE_WITHIN_MS = 5_000;

describe("runConfigurationBench", () => {
  it("has changes in force on nine nodes within five seconds", () => {
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

import { expect } from "chai";
import { runEnginesBench } from "./engines_bench.ts";

describe("engines bench", () => {
  it("counts every token of every stream", async () => {
    const report = await runEnginesBench({
      streams: 3,
      tokensPerStream: 20,
      stepMs: 0,
      servers: 2,
    });
    expect(report.tokens).to.equal(60);
    expect(report.tokensPerEvent).to.be.at.least(1);
  });
});

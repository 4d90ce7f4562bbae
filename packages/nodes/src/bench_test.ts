import { expect } from "chai";
import { runNodesBench } from "./bench.ts";

describe("node protocol bench", () => {
  it("drops no messages", async () => {
    const result = await runNodesBench({
      security: { kind: "plain" },
      burst: 50,
      messages: 500,
      textLength: 20,
      readCpuMs: () => 0,
    });
    expect(result.dropped).to.equal(0);
    expect(result.messagesPerSecond).to.be.above(0);
  });
});

import { expect } from "chai";
import { measureHead } from "./head_bytes.ts";

// 1,000 heads of 12 KB on the wire exhausted a heap of 110 MB.
describe("the estimate of a head's bytes", () => {
  it("counts an ordinary head as small", () => {
    const head = Array.from({ length: 20 }, () => ["x-header", "some value"]);
    expect(measureHead(head.flat())).to.be.below(12_000);
  });

  it("counts names, values and parts of lists, not only characters", () => {
    const lines = Array.from({ length: 1_900 }, () => ["abc", ""]).flat();
    expect(measureHead(lines)).to.be.within(400_000, 600_000);
    const list = ["x-list", "a:1,".repeat(4_000)];
    expect(measureHead(list)).to.be.within(350_000, 500_000);
  });
});

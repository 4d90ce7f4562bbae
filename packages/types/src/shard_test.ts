import { expect } from "chai";
import { formatProgramId, parseShardOf } from "./shard.ts";

describe("program ids", () => {
  it("contain their shard", () => {
    expect(parseShardOf(formatProgramId(1023, "7af"))).to.equal(1023);
  });

  it("are rejected when malformed", () => {
    expect(parseShardOf("p1-7af")).to.equal(undefined);
    expect(parseShardOf("p0001-")).to.equal(undefined);
    expect(parseShardOf("P0001-A")).to.equal(undefined);
  });
});

import { expect } from "chai";
import { formatReport } from "./command.ts";

describe("camphorlock turns", () => {
  it("names the disk, its segments and what is damaged", () => {
    const lines = formatReport({
      identity: { diskId: "d1", isComplete: false, hasPredecessor: true },
      segments: [{ number: 3, bytes: 120, turns: 2 }],
      turns: 2,
      chains: 1,
      orphans: ["t9"],
      damage: ["segment 3 is damaged at byte 90"],
      unfinishedBytes: 30,
    });
    expect(lines[0]).to.match(/d1, not complete/);
    expect(lines).to.include("segment 3: 120 bytes, 2 turns");
    expect(lines).to.include("turns without their ancestors: t9");
    expect(lines).to.include("damage: segment 3 is damaged at byte 90");
  });

  it("says that a wiped folder has no identity", () => {
    const [first] = formatReport({
      identity: undefined,
      segments: [],
      turns: 0,
      chains: 0,
      orphans: [],
      damage: [],
      unfinishedBytes: 0,
    });
    expect(first).to.match(/unknown/);
  });
});

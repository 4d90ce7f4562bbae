import { expect } from "chai";
import { ConversationTargets } from "./conversation_targets.ts";

describe("the targets of conversations", () => {
  // Turns that bring their whole prompt were read again at another target.
  it("are those of the line's last turn, or of the program's", () => {
    const targets = new ConversationTargets();
    expect(targets.find({ programId: "p", sessionId: "a" })).to.equal(
      undefined,
    );
    targets.record({ programId: "p", sessionId: "a" }, "t1");
    targets.record({ programId: "p", sessionId: "b" }, "t2");
    expect(targets.find({ programId: "p", sessionId: "a" })).to.equal("t1");
    expect(targets.find({ programId: "p", sessionId: "c" })).to.equal("t2");
    expect(targets.find({ programId: "q", sessionId: "a" })).to.equal(
      undefined,
    );
  });
});

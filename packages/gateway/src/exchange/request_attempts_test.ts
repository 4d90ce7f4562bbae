import { expect } from "chai";
import { TrackedTarget } from "../decisions/target_table.ts";
import { RequestAttempts } from "./request_attempts.ts";

describe("the attempts of a request", () => {
  // A caller was told that nothing had run, since the target that had run the
  // request couldn't be reached any more.
  it("may have run at a target that has become unreachable since", () => {
    const entry = new TrackedTarget({
      id: "t1",
      service: "s",
      host: "10.0.0.1",
      port: 80,
      failureDomain: "a",
      state: "ready",
      version: "v1",
      slots: 4,
      startedAtMs: 1,
    });
    const attempts = new RequestAttempts(0);
    expect(attempts.mayHaveRun).to.equal(false);
    attempts.recordFailedAttempt(entry, { kind: "unreachable", detail: "" });
    expect(attempts.mayHaveRun).to.equal(false);
    attempts.recordFailedAttempt(entry, { kind: "broken", detail: "" });
    expect(attempts.mayHaveRun).to.equal(true);
    attempts.recordFailedAttempt(entry, { kind: "unreachable", detail: "" });
    expect(attempts.isPossibleRunner("t1")).to.equal(false);
    expect(attempts.mayHaveRun).to.equal(true);
  });
});

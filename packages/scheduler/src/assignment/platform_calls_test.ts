import { expect } from "chai";
import { PlatformCalls } from "./platform_calls.ts";
import { DEFAULT_ASSIGNMENT_SETTINGS as SETTINGS } from "./settings.ts";

function measureWaits(name: string): number[] {
  const calls = new PlatformCalls(SETTINGS, name);
  const waits: number[] = [];
  let nowMs = 0;
  for (let failure = 0; failure < 8; failure += 1) {
    calls.recordFailure(nowMs);
    const failedAtMs = nowMs;
    while (!calls.canCall(nowMs)) nowMs += 10;
    waits.push(nowMs - failedAtMs);
  }
  return waits;
}

describe("platform calls", () => {
  it("back off for longer after each failure, up to a limit", () => {
    const waits = measureWaits("vm-1");
    expect(waits[0]).to.be.within(250, 510);
    expect(waits[3]).to.be.within(2_000, 4_010);
    expect(waits[7]).to.be.within(5_000, 10_010);
  });

  it("back off for different times on different nodes", () => {
    const first = ["vm-1", "vm-2", "vm-3"].map((name) => measureWaits(name)[2]);
    expect(new Set(first).size).to.equal(3);
  });

  it("reset the back-off after a response", () => {
    const calls = new PlatformCalls(SETTINGS, "vm-1");
    calls.recordFailure(0);
    calls.recordFailure(1_000);
    calls.recordSuccess();
    calls.recordFailure(5_000);
    expect(calls.canCall(5_510)).to.equal(true);
  });

  it("limit the rate of writes", () => {
    const calls = new PlatformCalls(SETTINGS, "vm-1");
    let writes = 0;
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
      if (calls.acquireWrite(nowMs)) writes += 1;
    }
    expect(writes).to.be.within(
      10 * SETTINGS.proposalsPerSecond,
      11 * SETTINGS.proposalsPerSecond,
    );
  });

  it("time out without a response", () => {
    const calls = new PlatformCalls(SETTINGS, "vm-1");
    const request = { kind: "get", key: "assignment/0000" } as const;
    const effect = calls.register({ kind: "read", group: 0 }, {
      request,
      nowMs: 0,
    });
    expect(calls.takeTimedOut(SETTINGS.callTimeoutMs - 1)).to.have.length(0);
    expect(calls.takeTimedOut(SETTINGS.callTimeoutMs)).to.have.length(1);
    const number = effect.kind === "call_platform" ? effect.token.number : 0;
    expect(calls.takePending(number)).to.equal(undefined);
  });
});

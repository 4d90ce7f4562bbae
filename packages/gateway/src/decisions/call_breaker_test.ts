import { expect } from "chai";
import { CallBreaker } from "./call_breaker.ts";

const PAUSES = { firstMs: 100, maxMs: 400 };
const MIDDLE = 0.5;

describe("call breaker", () => {
  let breaker: CallBreaker;

  beforeEach(() => breaker = new CallBreaker(() => PAUSES));

  // A single lost response would otherwise stop a working store's use.
  it("lets calls through after one failure", () => {
    breaker.recordFailure(0, MIDDLE);
    expect(breaker.startCall(1)).to.equal(true);
    expect(breaker.startCall(1)).to.equal(true);
  });

  // All kinds of objects of all gateways were read again at the same time.
  it("lets one call through after each pause, and pauses longer each time", () => {
    breaker.recordFailure(0, MIDDLE);
    breaker.recordFailure(0, MIDDLE);
    expect(breaker.startCall(99)).to.equal(false);
    expect(breaker.startCall(100)).to.equal(true);
    expect(breaker.startCall(100)).to.equal(false);
    breaker.recordFailure(110, MIDDLE);
    expect(breaker.startCall(309)).to.equal(false);
    expect(breaker.startCall(310)).to.equal(true);
  });

  // Without a bound, a store that is back would be found too late.
  it("bounds the pause", () => {
    for (let failures = 0; failures < 20; failures += 1) {
      breaker.recordFailure(0, MIDDLE);
    }
    expect(breaker.startCall(PAUSES.maxMs)).to.equal(true);
  });

  it("lets all calls through once the store responds", () => {
    breaker.recordFailure(0, MIDDLE);
    breaker.recordFailure(0, MIDDLE);
    breaker.recordResponse();
    expect(breaker.startCall(1)).to.equal(true);
    expect(breaker.startCall(1)).to.equal(true);
  });

  it("spreads calls that failed together", () => {
    for (const random of [0, 0.99]) {
      const each = new CallBreaker(() => PAUSES);
      each.recordFailure(0, random);
      each.recordFailure(0, random);
      expect(each.startCall(80)).to.equal(random === 0);
      expect(each.startCall(125)).to.equal(random !== 0);
    }
  });
});

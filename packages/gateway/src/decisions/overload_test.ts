import { expect } from "chai";
import { OverloadDetector } from "./overload_detector.ts";

const TICK_MS = 50;

function runTicks(overload: OverloadDetector, delays: readonly number[]): void {
  delays.forEach((delay, index) =>
    overload.recordDelay(delay, index * TICK_MS)
  );
}

describe("overload", () => {
  it("is detected while timers run late continuously", () => {
    const overload = new OverloadDetector();
    runTicks(overload, Array.from({ length: 40 }, () => 120));
    expect(overload.isOverloaded).to.equal(true);
    expect(overload.measureOverloadMs(40 * TICK_MS)).to.be.greaterThan(500);
    runTicks(overload, Array.from({ length: 40 }, () => 2));
    expect(overload.isOverloaded).to.equal(false);
    expect(overload.measureOverloadMs(10_000)).to.equal(0);
  });

  it("isn't detected for one long pause or a quota spent each 100 ms", () => {
    const overload = new OverloadDetector();
    runTicks(overload, [0, 1, 4_000, 2, 1, 0]);
    expect(overload.isOverloaded).to.equal(false);
    runTicks(overload, Array.from({ length: 100 }, (_, at) => at % 2 * 90));
    expect(overload.isOverloaded).to.equal(false);
  });
});

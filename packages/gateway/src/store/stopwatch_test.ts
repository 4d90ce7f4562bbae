import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { Stopwatch } from "./stopwatch.ts";

describe("stopwatch", () => {
  let time: VirtualTime;

  beforeEach(() => {
    time = new VirtualTime();
  });

  afterEach(() => time.restore());

  /** Sets the wall clock back. */
  function setBack(durationMs: number): void {
    time.suspend(-durationMs);
  }

  it("counts time that only one of the clocks shows", () => {
    const stopwatch = new Stopwatch(100);
    time.advance(1_000);
    expect(stopwatch.elapsedMs).to.equal(1_100);
    time.suspend(5_000);
    expect(stopwatch.elapsedMs).to.equal(6_100);
    const other = new Stopwatch();
    setBack(3_000);
    time.advance(1_000);
    expect(other.elapsedMs).to.equal(1_000);
  });

  // A copy of the keys looked young again when the wall clock was corrected.
  it("isn't shortened by a wall clock that is set back after a suspension", () => {
    const stopwatch = new Stopwatch();
    time.suspend(8_000);
    expect(stopwatch.elapsedMs).to.equal(8_000);
    setBack(10_000);
    time.advance(500);
    expect(stopwatch.elapsedMs).to.equal(8_500);
  });

  // The suspension was hidden by the correction before it.
  it("counts a suspension after the wall clock was set back", () => {
    const stopwatch = new Stopwatch();
    setBack(10_000);
    time.advance(100);
    expect(stopwatch.elapsedMs).to.equal(100);
    time.suspend(8_000);
    expect(stopwatch.elapsedMs).to.equal(8_100);
  });

  // Rounding of the clocks would add up over thousands of readings.
  it("adds up no rounding", () => {
    const stopwatch = new Stopwatch();
    for (let reading = 0; reading < 1_000; reading += 1) {
      time.advance(0.5);
      time.suspend(reading % 2 === 0 ? 0.5 : -0.5);
      void stopwatch.elapsedMs;
    }
    expect(stopwatch.elapsedMs).to.be.within(500, 505);
  });

  it("is endless from an endless start", () => {
    const stopwatch = new Stopwatch(Number.POSITIVE_INFINITY);
    expect(stopwatch.elapsedMs).to.equal(Number.POSITIVE_INFINITY);
  });
});

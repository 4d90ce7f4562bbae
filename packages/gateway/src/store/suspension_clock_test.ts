import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { SuspensionClock } from "./suspension_clock.ts";

describe("suspension clock", () => {
  let time: VirtualTime;

  beforeEach(() => {
    time = new VirtualTime();
  });

  afterEach(() => time.restore());

  it("counts the time in which the VM was suspended", () => {
    // Guards against lives that last as long as a suspension.
    const clock = new SuspensionClock();
    const startMs = clock.readMs();
    time.advance(100);
    time.suspend(4_000);
    time.advance(50);
    expect(clock.readMs() - startMs).to.equal(4_150);
    time.suspend(1_000);
    expect(clock.readMs() - startMs).to.equal(5_150);
  });

  it("never goes back, and hides nothing after the wall clock did", () => {
    // Guards against a corrected wall clock that stops or prolongs lives.
    const clock = new SuspensionClock();
    const startMs = clock.readMs();
    time.suspend(-60_000);
    time.advance(10);
    expect(clock.readMs() - startMs).to.equal(10);
    time.suspend(2_000);
    expect(clock.readMs() - startMs).to.equal(2_010);
  });

  it("adds nothing when it's read often", () => {
    // Guards against roundings of the clocks that add up.
    const clock = new SuspensionClock();
    const startMs = clock.readMs();
    for (let count = 0; count < 1_000; count += 1) {
      time.advance(0.7);
      time.suspend(count % 2 === 0 ? 0.4 : -0.4);
      clock.readMs();
    }
    expect(clock.readMs() - startMs).to.be.closeTo(700, 1);
  });
});

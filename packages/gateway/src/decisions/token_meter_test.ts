import { expect } from "chai";
import { TokenMeter } from "./token_meter.ts";

describe("token meter", () => {
  it("counts no event whose tokens aren't granted", () => {
    const meter = new TokenMeter({ turnTokens: 100, eventTokens: 30 });
    expect(meter.addEvent()).to.equal(false);
    meter.add(65);
    expect([meter.addEvent(), meter.addEvent(), meter.addEvent()])
      .to.deep.equal([true, true, false]);
    expect(meter.passedTokens).to.equal(60);
  });

  it("requests more tokens while events are still granted", () => {
    const meter = new TokenMeter({ turnTokens: 300, eventTokens: 30 });
    meter.add(120);
    meter.addEvent();
    meter.addEvent();
    expect(meter.needsMore).to.equal(false);
    meter.addEvent();
    expect(meter.needsMore).to.equal(true);
    expect(meter.missingTokens).to.equal(180);
  });

  it("counts no more events than the turn declares", () => {
    const meter = new TokenMeter({ turnTokens: 50, eventTokens: 30 });
    meter.add(60);
    expect([meter.addEvent(), meter.addEvent(), meter.addEvent()])
      .to.deep.equal([true, true, false]);
    expect(meter.passedTokens).to.equal(60);
    expect(meter.isFull).to.equal(true);
    expect(meter.missingTokens).to.equal(0);
  });

  it("counts one event of unknown size as the complete turn", () => {
    const meter = new TokenMeter({ turnTokens: 50, eventTokens: 0 });
    meter.add(49);
    expect(meter.addEvent()).to.equal(false);
    meter.add(1);
    expect(meter.addEvent()).to.equal(true);
    expect(meter.passedTokens).to.equal(50);
  });
});

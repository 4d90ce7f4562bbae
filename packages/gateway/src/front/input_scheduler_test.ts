import { expect } from "chai";
import { InputScheduler, type InputSource } from "./input_scheduler.ts";

/** Input whose slices keep the processor busy for a time. */
class BusySource implements InputSource {
  readonly remoteAddress = "127.0.0.1";
  parsed = 0;
  readonly #slices: number;
  readonly #costMs: number;
  readonly #handleSlice: () => void;

  constructor(
    slices: number,
    costMs: number,
    handleSlice: () => void = () => {},
  ) {
    this.#slices = slices;
    this.#costMs = costMs;
    this.#handleSlice = handleSlice;
  }

  get canParse(): boolean {
    return this.parsed < this.#slices;
  }

  parseSlice(): void {
    const endMs = performance.now() + this.#costMs;
    this.parsed += 1;
    this.#handleSlice();
    while (performance.now() < endMs);
  }

  recordCost(): void {}
}

describe("the scheduler of input", () => {
  it("parses little input at once", () => {
    const source = new BusySource(3, 0);
    new InputScheduler().schedule(source);
    expect(source.parsed).to.equal(3);
  });

  // The process did nothing else until all that had arrived was parsed.
  it("lets other work go between the slices of much input", async () => {
    const waiting: number[] = [];
    const scheduler = new InputScheduler((delay) => {
      waiting.push(delay.waiting);
      expect(delay.costliest).to.be.oneOf(sources);
    });
    const sources = Array.from({ length: 10 }, () => new BusySource(20, 1));
    for (const source of sources) scheduler.schedule(source);
    let iterations = 0;
    while (sources.some(({ canParse }) => canParse)) {
      await new Promise((resolve) => setImmediate(resolve));
      iterations += 1;
    }
    expect(iterations).to.be.at.least(10);
    expect(waiting.length).to.be.at.least(10);
    expect(Math.min(...waiting)).to.be.at.least(1);
  });

  it("parses cheap input before all of the costly input", async () => {
    const scheduler = new InputScheduler();
    const costly = Array.from({ length: 10 }, () => new BusySource(20, 1));
    for (const source of costly) scheduler.schedule(source);
    await new Promise((resolve) => setImmediate(resolve));
    const cheap = new BusySource(5, 0);
    scheduler.schedule(cheap);
    while (cheap.canParse) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    expect(costly.every(({ canParse }) => canParse)).to.equal(true);
    for (const source of costly) scheduler.remove(source);
    await new Promise((resolve) => setImmediate(resolve));
    expect(costly.every(({ canParse }) => canParse)).to.equal(true);
  });

  it("isn't entered again by what a slice causes", async () => {
    const scheduler = new InputScheduler();
    const inner = new BusySource(1, 0);
    const outer = new BusySource(1, 0, () => {
      scheduler.schedule(inner);
      expect(inner.parsed).to.equal(0);
    });
    scheduler.schedule(outer);
    while (inner.canParse) await new Promise((next) => setImmediate(next));
    expect(outer.parsed).to.equal(1);
  });

  // An error in one request must not keep others from being parsed.
  it("goes on after an error in a slice", async () => {
    const scheduler = new InputScheduler();
    const broken = new BusySource(1, 0, () => {
      scheduler.schedule(waiting);
      throw new Error("broken");
    });
    const waiting = new BusySource(1, 0);
    expect(() => scheduler.schedule(broken)).to.throw("broken");
    while (waiting.canParse) await new Promise((next) => setImmediate(next));
    const later = new BusySource(1, 0);
    scheduler.schedule(later);
    expect(later.parsed).to.equal(1);
  });
});

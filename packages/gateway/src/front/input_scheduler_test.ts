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

  it("isn't entered again by what a slice causes", () => {
    const scheduler = new InputScheduler();
    let depth = 0;
    let deepest = 0;
    const inner = new BusySource(1, 0);
    const outer = new BusySource(1, 0, () => {
      depth += 1;
      deepest = Math.max(deepest, depth);
      scheduler.schedule(inner);
      expect(inner.parsed).to.equal(0);
      depth -= 1;
    });
    scheduler.schedule(outer);
    expect(inner.parsed).to.equal(1);
    expect(deepest).to.equal(1);
  });
});

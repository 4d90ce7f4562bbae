import { expect } from "chai";
import { InputQueue } from "./input_queue.ts";

interface Source {
  readonly name: string;
  /** Processor time of each of its slices, in milliseconds. */
  readonly costMs: number;
  slices: number;
}

describe("the order of waiting input", () => {
  let queue: InputQueue<Source>;

  beforeEach(() => {
    queue = new InputQueue();
  });

  function add(name: string, costMs: number, slices: number): Source {
    const source = { name, costMs, slices };
    queue.add(source);
    return source;
  }

  /** Parses one slice; returns the name of its source. */
  function runNext(): string | undefined {
    const source = queue.takeNext();
    if (source === undefined) return undefined;
    source.slices -= 1;
    queue.recordCost(source, source.costMs);
    if (source.slices > 0) queue.add(source);
    return source.name;
  }

  // An ordinary request waited for all input of a crowd to be parsed.
  it("lets cheap input pass the costly input of many", () => {
    for (let at = 0; at < 400; at += 1) add("costly", 1, 1_000);
    for (let at = 0; at < 5_000; at += 1) runNext();
    const ordinary = add("ordinary", 0.05, 10);
    let turns = 0;
    while (ordinary.slices > 0) {
      runNext();
      turns += 1;
    }
    expect(turns).to.be.at.most(400 + 10);
    expect(turns).to.be.at.most(30);
  });

  it("shares the time equally, whatever a slice costs", () => {
    const used = new Map<string, number>();
    const sources = [add("a", 1, 1e6), add("b", 3, 1e6), add("c", 0.5, 1e6)];
    for (let at = 0; at < 10_000; at += 1) {
      const name = runNext() ?? "";
      const { costMs } = sources.find((source) =>
        source.name === name
      ) as Source;
      used.set(name, (used.get(name) ?? 0) + costMs);
    }
    const shares = [...used.values()];
    expect(Math.max(...shares) - Math.min(...shares)).to.be.at.most(3);
  });

  it("gives little credit for time without input", () => {
    const idle = add("idle", 1, 1);
    runNext();
    add("busy", 1, 1e6);
    for (let at = 0; at < 1_000; at += 1) runNext();
    idle.slices = 1_000;
    queue.add(idle);
    const names = Array.from({ length: 100 }, runNext);
    expect(names.filter((name) => name === "busy").length).to.be.at.least(47);
  });

  // What a connection had used while nothing waited kept it behind a later crowd.
  it("charges nothing for time that nobody else wanted", () => {
    const ordinary = { name: "ordinary", costMs: 1, slices: 0 };
    // Input that needs no wait is charged without having been in the queue.
    for (let at = 0; at < 5_000; at += 1) queue.recordCost(ordinary, 1);
    for (let at = 0; at < 100; at += 1) add("crowd", 1, 1e6);
    for (let at = 0; at < 500; at += 1) runNext();
    ordinary.slices = 5;
    queue.add(ordinary);
    let turns = 0;
    while (ordinary.slices > 0 && turns < 10_000) {
      runNext();
      turns += 1;
    }
    expect(turns).to.be.at.most(600);
  });

  it("keeps its order when a source that waits is charged", () => {
    const [first] = ["a", "b", "c"].map((name) => add(name, 1, 1));
    queue.recordCost(first as Source, 5);
    expect([runNext(), runNext(), runNext()]).to.deep.equal(["b", "c", "a"]);
  });

  it("keeps the order of arrival among equals, and drops what left", () => {
    const [first, , third] = ["a", "b", "c"].map((name) => add(name, 1, 1));
    queue.add(third as Source);
    queue.remove(first as Source);
    expect(queue.size).to.equal(2);
    expect([runNext(), runNext(), runNext()])
      .to.deep.equal(["b", "c", undefined]);
  });
});

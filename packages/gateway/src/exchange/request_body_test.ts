import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect } from "chai";
import { ByteBudget } from "../decisions/byte_budget.ts";
import { CallerWaits } from "../decisions/caller_waits.ts";
import { RequestBody } from "./request_body.ts";

const MAX_BYTES = 100_000;

/** Lets the stream hand over what was written. */
function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// A body in small chunks held far more than it reserved, and one that wasn't
// read to its end kept its reservation until its connection closed.
describe("the body of a request", () => {
  let budget: ByteBudget;
  let waits: CallerWaits;
  let stream: PassThrough;

  beforeEach(() => {
    waits = new CallerWaits();
    budget = new ByteBudget(1_000_000, () => waits.evictLongest(Infinity));
  });

  function start(headers: Record<string, string> = {}): RequestBody {
    stream = Object.assign(new PassThrough(), { headers });
    const share = budget.open();
    const request = stream as unknown as IncomingMessage;
    const body = new RequestBody(request, { share, waits });
    body.start(MAX_BYTES);
    return body;
  }

  it("reserves what it holds while it grows, then what is left of it", async () => {
    const body = start();
    for (let at = 0; at < 10_000; at += 1) stream.write("x");
    await nextTurn();
    expect(budget.usedBytes).to.be.within(20_000, 40_000);
    stream.end();
    const result = await body.result;
    expect(result.kind === "complete" && result.body.length).to.equal(10_000);
    expect(budget.usedBytes).to.be.within(10_000, 20_000);
    expect(waits.size).to.equal(0);
  });

  it("reserves the length that it declares", async () => {
    const body = start({ "content-length": "5" });
    expect(budget.usedBytes).to.equal(5);
    stream.end("12345");
    const result = await body.result;
    expect(result.kind === "complete" && `${result.body}`).to.equal("12345");
    expect(budget.usedBytes).to.equal(5);
  });

  it("releases everything when it's evicted, and reads no more of it", async () => {
    const body = start();
    stream.write("x".repeat(9_000));
    await nextTurn();
    const other = budget.open();
    expect(other.reserve(740_000)).to.equal(true);
    expect((await body.result).kind).to.equal("no_memory");
    expect(budget.usedBytes).to.equal(740_000);
    stream.write("x".repeat(9_000));
    stream.end();
    await nextTurn();
    expect(budget.usedBytes).to.equal(740_000);
  });

  it("releases everything when it's too large or too slow, or the caller leaves", async () => {
    const large = start();
    stream.write("x".repeat(MAX_BYTES));
    stream.write("x");
    expect((await large.result).kind).to.equal("too_large");
    const slow = start();
    stream.write("x");
    slow.end({ kind: "too_slow" });
    expect((await slow.result).kind).to.equal("too_slow");
    const left = start();
    stream.write("x");
    stream.destroy();
    expect((await left.result).kind).to.equal("disconnected");
    expect(start({ "content-length": `${MAX_BYTES + 1}` }).result)
      .to.be.an.instanceOf(Promise);
    expect(budget.usedBytes).to.equal(0);
    expect(waits.size).to.equal(0);
  });
});

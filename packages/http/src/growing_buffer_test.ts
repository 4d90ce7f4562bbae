import { expect } from "chai";
import { GrowingBuffer } from "./growing_buffer.ts";

// A list of the pieces took 286 MB for 6 MB in pieces of one byte.
describe("a growing buffer", () => {
  it("holds at most twice the bytes, however small the pieces are", () => {
    const buffer = new GrowingBuffer();
    const piece = Buffer.from("x");
    for (let at = 0; at < 60_000; at += 1) buffer.append(piece);
    expect(buffer.length).to.equal(60_000);
    expect(buffer.capacity).to.be.within(60_000, 120_000);
    expect(buffer.view().every((byte) => byte === piece[0])).to.equal(true);
  });

  it("says before how much it grows, and allocates no more than the maximum", () => {
    const buffer = new GrowingBuffer({ maxBytes: 10_000 });
    let reserved = 0;
    for (let at = 0; at < 10; at += 1) {
      reserved += buffer.computeGrowth(1_000);
      buffer.append(Buffer.alloc(1_000, at));
      expect(buffer.capacity).to.equal(reserved);
    }
    expect(reserved).to.equal(10_000);
    expect(buffer.computeGrowth(0)).to.equal(0);
    expect(buffer.computeGrowth(1)).to.equal(1);
  });

  it("keeps earlier views as they were", () => {
    const buffer = new GrowingBuffer();
    buffer.append(Buffer.from("first"));
    const view = buffer.view();
    buffer.append(Buffer.alloc(9_000));
    buffer.reset();
    buffer.append(Buffer.from("other"));
    expect(view.toString()).to.equal("first");
    expect(buffer.view().toString()).to.equal("other");
  });
});

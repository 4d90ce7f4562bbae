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
      const piece = Buffer.alloc(1_000, at);
      reserved += buffer.computeGrowth(piece);
      buffer.append(piece);
      expect(buffer.capacity).to.equal(reserved);
    }
    expect(reserved).to.equal(10_000);
    expect(buffer.computeGrowth(Buffer.alloc(0))).to.equal(0);
    expect(buffer.computeGrowth(Buffer.from("x"))).to.equal(1);
  });

  it("keeps large pieces, and copies small ones between them", () => {
    const buffer = new GrowingBuffer({ keepsPieces: true });
    const sizes = [1, 65_536, 3, 5_000, 16_384, 20_000, 16_383, 1];
    const pieces = sizes.map((bytes, at) => Buffer.alloc(bytes, at + 1));
    for (const piece of pieces) {
      const before = buffer.capacity;
      const growth = buffer.computeGrowth(piece);
      buffer.append(piece);
      expect(buffer.capacity - before).to.equal(growth);
    }
    expect(buffer.view().equals(Buffer.concat(pieces))).to.equal(true);
    expect(buffer.length).to.equal(buffer.view().length);
    expect(buffer.capacity).to.be.below(buffer.length * 1.5);
  });

  it("keeps no part of a larger buffer", () => {
    const buffer = new GrowingBuffer({ keepsPieces: true });
    buffer.append(Buffer.alloc(1_000_000).subarray(0, 20_000));
    expect(buffer.capacity).to.equal(20_000);
    expect(buffer.view().buffer.byteLength).to.equal(20_000);
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

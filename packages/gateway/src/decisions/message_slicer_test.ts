import { expect } from "chai";
import fc from "fast-check";
import { MessageSlicer } from "./message_slicer.ts";

const HEAD = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** Cuts pieces, as they arrive, into slices. */
function split(
  slicer: MessageSlicer,
  pieces: readonly string[],
  maxBytes = 65_536,
): string[] {
  const slices: string[] = [];
  for (const piece of pieces) {
    let input = Buffer.from(piece, "latin1");
    while (input.length > 0) {
      const bytes = slicer.takeSlice(input, maxBytes);
      expect(bytes).to.be.within(1, maxBytes);
      slices.push(input.toString("latin1", 0, bytes));
      input = input.subarray(bytes);
    }
  }
  return slices;
}

describe("the slices of a connection's input", () => {
  // The parser hands over all requests of a slice at once.
  it("end with the head of a request", () => {
    expect(split(new MessageSlicer(), [HEAD.repeat(3)]))
      .to.deep.equal([HEAD, HEAD, HEAD]);
  });

  it("end at most one head, however it arrives", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      fc.integer({ min: 1, max: 40 }),
      (lengths, maxBytes) => {
        const text = HEAD.repeat(4);
        const pieces: string[] = [];
        let at = 0;
        while (at < text.length) {
          const length = lengths[pieces.length % lengths.length] as number;
          pieces.push(text.slice(at, at + length));
          at += length;
        }
        const slices = split(new MessageSlicer(), pieces, maxBytes);
        expect(slices.join("")).to.equal(text);
        // None ends a second head, also one that began in an earlier slice.
        let open = "";
        for (const slice of slices) {
          const parts = (open + slice).split("\r\n\r\n");
          expect(parts.length).to.be.at.most(2);
          open = parts.at(-1) ?? "";
        }
      },
    ));
  });

  it("contain a small body with its head", () => {
    const slicer = new MessageSlicer();
    const text = `${HEAD}0123456789`;
    expect(split(slicer, [text])).to.deep.equal([text]);
    slicer.startBody(15);
    expect(split(slicer, [`abcde${HEAD}`])).to.deep.equal(["abcde", HEAD]);
  });

  it("end with a body of known length, whatever it contains", () => {
    const slicer = new MessageSlicer();
    slicer.startBody(10);
    expect(split(slicer, ["a\r\n\r\nb", `\r\n\r\n${HEAD}`]))
      .to.deep.equal(["a\r\n\r\nb", "\r\n\r\n", HEAD]);
  });

  it("end with a chunked body", () => {
    const slicer = new MessageSlicer();
    slicer.startBody(undefined);
    expect(split(slicer, [`1\r\nx\r\n0\r\n\r\n${HEAD}`]))
      .to.deep.equal(["1\r\nx\r\n0\r\n\r\n", HEAD]);
  });

  it("are no larger than asked for", () => {
    const slices = split(new MessageSlicer(), ["x".repeat(1_000)], 300);
    expect(slices.map(({ length }) => length))
      .to.deep.equal([300, 300, 300, 100]);
  });
});

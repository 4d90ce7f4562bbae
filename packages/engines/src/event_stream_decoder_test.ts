import { expect } from "chai";
import { EventStreamDecoder } from "./event_stream_decoder.ts";

/** Decodes a text in pieces of some size. */
function decode(text: string, size = text.length): string[] | undefined {
  const decoder = new EventStreamDecoder();
  const bytes = Buffer.from(text);
  const events: string[] = [];
  for (let at = 0; at < bytes.length; at += size) {
    const decoded = decoder.append(bytes.subarray(at, at + size));
    if (decoded === undefined) return undefined;
    events.push(...decoded);
  }
  return events;
}

describe("the decoder of event streams", () => {
  // Each line counted as an event, and only line feeds ended lines.
  it("takes an event's lines together, at any end of line", () => {
    for (const end of ["\n", "\r\n", "\r"]) {
      const text = `data: a${end}data: ü${end}${end}data: c${end}${end}\n`;
      for (let size = 1; size <= text.length; size += 1) {
        expect(decode(text, size), JSON.stringify(end))
          .to.deep.equal(["a\nü", "c"]);
      }
    }
  });

  it("takes no event from comments, other fields and empty lines", () => {
    const text =
      ": data: x\n\n\n\nid: 1\n\nwrong\n\ndatabase: 1\n\ndata: a\n\n";
    expect(decode(text)).to.deep.equal(["a"]);
  });

  it("takes no event whose end is missing", () => {
    expect(decode("data: a\n\ndata: b\n")).to.deep.equal(["a"]);
  });

  it("refuses an event without end", () => {
    expect(decode(`data: ${"x".repeat(2 * 1024 * 1024)}`, 65_536))
      .to.equal(undefined);
    expect(decode("data: x\n".repeat(600_000), 65_536)).to.equal(undefined);
  });
});

import { expect } from "chai";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import fc from "fast-check";
import {
  EventSplitter,
  type StreamEvent,
  type StreamPart,
} from "./event_splitter.ts";

/** Appends a text in pieces of some size. */
function splitText(
  text: string,
  { size = text.length, splitter = new EventSplitter() } = {},
): StreamPart[] {
  const bytes = Buffer.from(text, "latin1");
  const parts: StreamPart[] = [];
  for (let at = 0; at < bytes.length; at += size) {
    parts.push(...splitter.append(bytes.subarray(at, at + size)));
  }
  return parts;
}

function filterEvents(parts: readonly StreamPart[]): StreamEvent[] {
  return parts.filter((part) => part.kind === "event");
}

function joinBytes(parts: readonly StreamPart[]): string {
  return Buffer.concat(parts.map(({ bytes }) => bytes)).toString("latin1");
}

/** Parses a whole text by the library. */
function parseWhole(text: string): EventSourceMessage[] {
  const events: EventSourceMessage[] = [];
  const parser = createParser({ onEvent: (event) => events.push(event) });
  parser.feed(text);
  return events;
}

describe("event splitter", () => {
  it("returns complete events wherever the bytes are split", () => {
    const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
    for (let size = 1; size < text.length; size += 1) {
      const splitter = new EventSplitter();
      const events = filterEvents(splitText(text, { size, splitter }));
      expect(events.map(({ id }) => id)).to.deep.equal([1, 2]);
      expect(splitter.bufferedBytes).to.equal("id: 3\nda".length);
      expect(splitter.end().kind).to.equal("within_event");
    }
  });

  // Each piece copied the event anew, 31 GB in all for 250,000 single bytes.
  it("takes a long event byte by byte without copying it each time", () => {
    const splitter = new EventSplitter();
    expect(splitText("data:", { size: 1, splitter })).to.deep.equal([]);
    const byte = Buffer.from("x");
    let events = 0;
    for (let at = 0; at < 250_000; at += 1) {
      events += [...splitter.append(byte)].length;
    }
    expect(events).to.equal(0);
    const [first, second] = splitText("\n\nid: 2\ndata:\n\nrest", { splitter });
    expect(first?.bytes.length).to.equal(250_007);
    expect(second).to.include({ kind: "event", id: 2 });
    expect(splitter.bufferedBytes).to.equal(4);
  });

  // Line feeds counted as events: a stream went on after the wrong one.
  for (
    const bytes of [
      "\n".repeat(16),
      "\r\n".repeat(8),
      "\r".repeat(5),
      ": keep-alive\n\n",
      "wrong\n\n",
      "wrong: data: 1\n\n",
      "id: 9\n\n",
      "event: x\nid: 9\n\n",
      "retry: 10\n\n",
      "\x00\xff\n\n",
      "database: 1\n\n",
    ]
  ) {
    it(`takes no event from ${JSON.stringify(bytes)}`, () => {
      const event = "id: 1\ndata: a\n\n";
      for (let size = 1; size <= bytes.length; size += 1) {
        const parts = splitText(bytes + event, { size });
        expect(filterEvents(parts).map(({ id, data }) => ({ id, data })))
          .to.deep.equal([{ id: 1, data: "a" }]);
      }
    });
  }

  // A sound target sends comments, so that its connections stay open.
  it("keeps comments and empty lines as they came", () => {
    const text = "\n: a\r\n\r\nid: 1\r\ndata: x\r\n\r\n\n\n: b\n\n" +
      "id: 2\ndata: y\n\n: c\n";
    for (let size = 1; size <= text.length; size += 1) {
      const splitter = new EventSplitter();
      const parts = splitText(text, { size, splitter });
      const end = splitter.end();
      if (end.kind !== "complete") throw new Error(end.kind);
      expect(joinBytes(parts) + end.rest.toString()).to.equal(text);
      expect(splitter.droppedBytes).to.equal(0);
    }
  });

  // A caller that reads an id without data would resume after that id.
  it("drops what is neither an event nor filler", () => {
    const splitter = new EventSplitter();
    const parts = splitText("id: 9\n\nwrong\n\nid: 1\ndata: a\n\n", {
      splitter,
    });
    expect(joinBytes(parts)).to.equal("id: 1\ndata: a\n\n");
    expect(splitter.droppedBytes).to.equal("id: 9\n\nwrong\n\n".length);
  });

  it("reads an id that isn't a number as none", () => {
    for (const line of ["id: x\n", "id: 1 2\n", "id:\n", "id: -1\n", ""]) {
      const [event] = filterEvents(splitText(`${line}data: a\n\n`));
      expect(event).to.have.property("id", undefined);
    }
  });

  it("reads events after a byte order mark", () => {
    const text = "\xef\xbb\xbfdata: a\nid: 1\n\n";
    const [event] = filterEvents(splitText(text));
    expect(event).to.include({ id: 1, data: "a" });
  });

  it("finds the events of the standard, however the bytes are split", () => {
    const line = fc.constantFrom(
      "id: 1",
      "id:2",
      "id",
      "data: x",
      "data:",
      "data",
      "data:  y",
      ": data: z",
      "event: e",
      "retry: 5",
      "wrong",
      "",
      "",
      "",
    );
    const end = fc.constantFrom("\n", "\r\n", "\r");
    const text = fc.array(fc.tuple(line, end), { maxLength: 30 })
      .map((lines) => lines.flat().join(""));
    fc.assert(
      fc.property(text, fc.integer({ min: 1, max: 9 }), (body, size) => {
        // The library waits for a line feed after a last return.
        const whole = parseWhole(`${body}${body.endsWith("\r") ? "\n" : ""}`);
        const events = filterEvents(splitText(body, { size }));
        expect(events.map(({ data }) => data))
          .to.deep.equal(whole.map(({ data }) => data));
        expect(events.map(({ id }) => id)).to.deep.equal(
          whole.map(({ id }) =>
            id === undefined || id === "" ? undefined : +id
          ),
        );
      }),
      { numRuns: 2_000 },
    );
  });

  // Blank lines without end kept a gateway from everything else for seconds.
  it("takes bytes without events together, and not without end", () => {
    for (const bytes of ["\n", ": x\n\n", "wrong\n\n", "id: 1\n\n"]) {
      const splitter = new EventSplitter();
      const chunk = Buffer.from(bytes.repeat(65_536 / bytes.length));
      expect([...splitter.append(chunk)].length).to.be.at.most(1);
      expect(splitter.isOverlong).to.equal(false);
      for (let at = 0; at < 4; at += 1) Array.from(splitter.append(chunk));
      expect(splitter.isOverlong, bytes).to.equal(true);
    }
  });

  it("counts what it drops behind an event", () => {
    const splitter = new EventSplitter();
    const wrong = "wrong\n\n".repeat(40_000);
    splitText(`data: a\n\n${wrong}`, { splitter });
    expect(splitter.isOverlong).to.equal(true);
  });

  it("takes any number of comments between events", () => {
    const splitter = new EventSplitter();
    const chunk = Buffer.from(`${": x\n\n".repeat(40_000)}data: a\n\n`);
    for (let at = 0; at < 5; at += 1) {
      const parts = [...splitter.append(chunk)];
      expect(parts.at(-1)?.kind).to.equal("event");
      expect(splitter.isOverlong).to.equal(false);
    }
  });
});

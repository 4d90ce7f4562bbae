import type { AttemptEvent, AttemptOrder } from "@camphorlock/types";
import { expect } from "chai";
import fc from "fast-check";
import { AttemptStream } from "./attempt_stream.ts";

const ORDER: AttemptOrder = {
  attemptId: "a1",
  programId: "p0001-a",
  callId: "c1",
  targetId: "engine-1",
  call: { kind: "model", model: "m", messages: [], maxTokens: 10 },
  prefixText: "",
  progressTimeoutMs: 1_000,
};
const USAGE = { "prompt_tokens": 3, "completion_tokens": 2 };
const LAST_CHUNK = buildChunk({ usage: USAGE, finish: "stop", offset: 6 });
const DONE = "data: [DONE]\n\n";

interface ChunkFields {
  readonly id?: string;
  readonly offset?: number;
  readonly text?: string;
  readonly finish?: string;
  readonly usage?: typeof USAGE;
}

function buildChunk(fields: ChunkFields): string {
  const { id = "a1", offset, text, finish, usage } = fields;
  const choices = [{ delta: { content: text }, finish_reason: finish ?? null }];
  return `data: ${JSON.stringify({ id, offset, choices, usage })}\n\n`;
}

function buildCompleteStream(): string[] {
  return [
    buildChunk({ text: "çay ", offset: 0 }),
    buildChunk({ text: "🔥", offset: 4 }),
    LAST_CHUNK,
    DONE,
  ];
}

/** Feeds a response that ends normally and returns the events. */
function run(
  pieces: readonly (string | Uint8Array)[],
  attempt = "a1",
): AttemptEvent[] {
  const events: AttemptEvent[] = [];
  const stream = new AttemptStream(ORDER, {
    fromOffset: 0,
    onEvent: (event) => events.push(event),
    wasSentBefore: false,
    onFault: () => {},
  });
  stream.handleHead(200, { "camphorlock-attempt": attempt });
  for (const piece of pieces) stream.handleData(Buffer.from(piece));
  stream.handleEnd({ kind: "ended" });
  return events;
}

function getEndDetail(pieces: readonly string[], attempt = "a1"): string {
  const end = run(pieces, attempt).at(-1);
  if (end?.kind === "broken") return end.detail;
  return end?.kind ?? "nothing";
}

describe("attempt stream", () => {
  it("reports a complete response, with one text event per read", () => {
    const text = "çay 🔥";
    const usage = { promptTokens: 3, cachedTokens: 0, completionTokens: 2 };
    expect(run([buildCompleteStream().join("")])).to.deep.equal([
      { kind: "text", offset: 0, text, tokens: 2 },
      { kind: "completed", text, usage },
    ]);
  });

  it("reports the same text wherever the bytes are split", () => {
    const bytes = Buffer.from(buildCompleteStream().join(""));
    const cuts = fc.array(fc.nat(bytes.length), { maxLength: 8 });
    fc.assert(
      fc.property(cuts, (positions) => {
        const sorted = [0, ...positions.sort((a, b) => a - b), bytes.length];
        const pieces = sorted.slice(1).map((position, index) =>
          bytes.subarray(sorted[index], position)
        );
        const end = run(pieces).at(-1);
        expect(end).to.include({ kind: "completed", text: "çay 🔥" });
      }),
      { seed: 17, numRuns: 200 },
    );
  });

  it("reports a truncated response as broken, wherever it is cut", () => {
    const complete = buildCompleteStream();
    for (let count = 0; count < complete.length; count += 1) {
      const events = run(complete.slice(0, count));
      expect(events.at(-1)?.kind).to.equal("broken");
    }
  });

  const [first = "", second = ""] = buildCompleteStream();

  it("reports broken at a gap, a repeat or another attempt's chunk or head", () => {
    expect(getEndDetail([second, LAST_CHUNK, DONE])).to.equal(
      "a chunk begins at 4 instead of 0",
    );
    expect(getEndDetail([first, first, second, LAST_CHUNK, DONE])).to.equal(
      "a chunk begins at 0 instead of 4",
    );
    const foreign = buildChunk({ id: "a2", text: "x", offset: 4 });
    expect(getEndDetail([first, foreign, LAST_CHUNK, DONE])).to.equal(
      "a chunk is for attempt a2",
    );
    expect(getEndDetail(buildCompleteStream(), "a2")).to.equal(
      "the response is for attempt a2",
    );
  });

  it("reports broken without a finish reason, usage or valid chunks", () => {
    expect(getEndDetail([first, second, DONE])).to.equal(
      "the response has no finish reason",
    );
    const withoutUsage = buildChunk({ finish: "stop", offset: 6 });
    expect(getEndDetail([first, second, withoutUsage, DONE])).to.equal(
      "the response has no usage",
    );
    expect(getEndDetail([first, "data: {}\n\n"])).to.equal(
      "a chunk is malformed",
    );
    expect(getEndDetail([`data: ${"x".repeat(2 * 1024 * 1024)}`])).to.equal(
      "an event is too long",
    );
  });

  it("limits the detail of an error response", () => {
    const events: AttemptEvent[] = [];
    let faults = 0;
    const stream = new AttemptStream(ORDER, {
      fromOffset: 0,
      onEvent: (event) => events.push(event),
      wasSentBefore: false,
      onFault: () => faults += 1,
    });
    stream.handleHead(500, {});
    stream.handleData(Buffer.alloc(3_000, "x"));
    stream.handleData(Buffer.alloc(3_000, "x"));
    stream.handleData(Buffer.alloc(3_000, "x"));
    expect(events).to.have.length(1);
    expect(events[0]).to.deep.include({ kind: "rejected", status: 500 });
    expect(events[0]).to.have.property("detail").with.length(4_096);
    expect(faults).to.equal(1);
  });
});

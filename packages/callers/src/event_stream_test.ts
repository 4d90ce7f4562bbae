import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerAnswer } from "@camphorlock/types";
import { expect } from "chai";
import { EventStream } from "./event_stream.ts";

/** Stands in for the response of Node's HTTP server. */
class FakeResponse extends EventEmitter {
  writableNeedDrain = false;
  ended = false;
  readonly written: string[] = [];

  writeHead(): void {}
  flushHeaders(): void {}

  write(text: string): void {
    this.written.push(text);
  }

  end(): void {
    this.ended = true;
  }
}

function buildText(offset: number, text: string): CallerAnswer {
  return { kind: "text", callId: "c1", offset, text };
}

const REFUSED: CallerAnswer = {
  kind: "refused",
  failure: { code: 1, detail: "no" },
};

describe("event stream", () => {
  let response: FakeResponse;
  let stream: EventStream;
  let gone: number;

  beforeEach(() => {
    response = new FakeResponse();
    gone = 0;
    stream = new EventStream(response as unknown as ServerResponse, {
      formatAnswer: (answer) => [{
        event: answer.kind,
        data: answer.kind === "text" ? `${answer.offset}${answer.text}` : "",
      }],
      onGone: () => gone += 1,
    });
  });

  it("writes each answer at once and ends after the last", () => {
    stream.add(buildText(0, "a"));
    stream.add(REFUSED);
    stream.add(buildText(1, "b"));
    expect(response.written).to.deep.equal([
      "event: text\ndata: 0a\n\n",
      "event: refused\ndata: \n\n",
    ]);
    expect(response.ended).to.equal(true);
    response.emit("close");
    expect(gone).to.equal(0);
  });

  it("collects text while the connection takes no more", () => {
    response.writableNeedDrain = true;
    for (const [offset, text] of ["a", "b", "c"].entries()) {
      stream.add(buildText(offset, text));
    }
    expect(response.written).to.deep.equal([]);
    response.writableNeedDrain = false;
    response.emit("drain");
    expect(response.written).to.deep.equal(["event: text\ndata: 0abc\n\n"]);
  });

  it("tells once that the caller has gone, and writes nothing more", () => {
    response.emit("close");
    stream.add(buildText(0, "a"));
    response.emit("drain");
    expect(gone).to.equal(1);
    expect(response.written).to.deep.equal([]);
  });
});

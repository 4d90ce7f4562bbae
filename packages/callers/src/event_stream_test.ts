import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import type { CallerResponse } from "@camphorlock/types";
import { expect } from "chai";
import { EventStream } from "./event_stream.ts";

/** A fake of the response of Node's HTTP server. */
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

function buildTextPart(offset: number, text: string): CallerResponse {
  return { kind: "text", callId: "c1", offset, text };
}

const REFUSED: CallerResponse = {
  kind: "refused",
  failure: { code: 1, detail: "no" },
};

describe("event stream", () => {
  let response: FakeResponse;
  let stream: EventStream;
  let disconnects: number;

  beforeEach(() => {
    response = new FakeResponse();
    disconnects = 0;
    stream = new EventStream(response as unknown as ServerResponse, {
      formatPart: (part) => [{
        event: part.kind,
        data: part.kind === "text" ? `${part.offset}${part.text}` : "",
      }],
      onDisconnect: () => disconnects += 1,
    });
  });

  it("writes each part immediately and ends after the last", () => {
    stream.add(buildTextPart(0, "a"));
    stream.add(REFUSED);
    stream.add(buildTextPart(1, "b"));
    expect(response.written).to.deep.equal([
      "event: text\ndata: 0a\n\n",
      "event: refused\ndata: \n\n",
    ]);
    expect(response.ended).to.equal(true);
    response.emit("close");
    expect(disconnects).to.equal(0);
  });

  it("buffers text while the connection is under back-pressure", () => {
    response.writableNeedDrain = true;
    for (const [offset, text] of ["a", "b", "c"].entries()) {
      stream.add(buildTextPart(offset, text));
    }
    expect(response.written).to.deep.equal([]);
    response.writableNeedDrain = false;
    response.emit("drain");
    expect(response.written).to.deep.equal(["event: text\ndata: 0abc\n\n"]);
  });

  it("reports a disconnected caller once and writes nothing more", () => {
    response.emit("close");
    stream.add(buildTextPart(0, "a"));
    response.emit("drain");
    expect(disconnects).to.equal(1);
    expect(response.written).to.deep.equal([]);
  });
});

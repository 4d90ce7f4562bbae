import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { expect } from "chai";
import { ByteBudget } from "../decisions/byte_budget.ts";
import { CallerWaits } from "../decisions/caller_waits.ts";
import { CallerExchange } from "./caller_exchange.ts";

class FakeResponse extends EventEmitter {
  readonly writableFinished = false;
  isFull = false;
  isDestroyed = false;

  write(): boolean {
    return !this.isFull;
  }

  destroy(): void {
    this.isDestroyed = true;
    this.emit("close");
  }
}

describe("the exchange with a caller", () => {
  let response: FakeResponse;
  let streamWaits: CallerWaits;
  let caller: CallerExchange;

  beforeEach(() => {
    response = new FakeResponse();
    streamWaits = new CallerWaits();
    caller = new CallerExchange(
      new EventEmitter() as unknown as IncomingMessage,
      response as unknown as ServerResponse,
      {
        share: new ByteBudget(1).open(),
        waits: new CallerWaits(),
        streamWaits,
        isClosing: () => false,
        stopParsing: () => {},
      },
    );
  });

  // Streams that nobody read kept others from running until their timeout.
  it("can be ended while the caller doesn't read a stream, and only then", () => {
    const events = Buffer.from("data: x");
    expect(caller.sendEvents(events)).to.equal(true);
    expect(streamWaits.size).to.equal(0);
    response.isFull = true;
    expect(caller.sendEvents(events)).to.equal(false);
    expect(caller.sendEvents(events)).to.equal(false);
    expect(streamWaits.size).to.equal(1);
    response.emit("drain");
    expect(streamWaits.size).to.equal(0);
    caller.sendEvents(events);
    let hasDisconnected = false;
    caller.onDisconnect(() => hasDisconnected = true);
    expect(streamWaits.evictLongest(Infinity)).to.equal(true);
    expect(response.isDestroyed).to.equal(true);
    expect(hasDisconnected).to.equal(true);
    expect(streamWaits.size).to.equal(0);
  });
});

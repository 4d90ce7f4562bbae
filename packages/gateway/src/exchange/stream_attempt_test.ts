import { ByteBudget } from "../decisions/byte_budget.ts";
import { expect } from "chai";
import type {
  Exchange,
  PeerConnection,
  PeerRequest,
  ResponseReceiver,
} from "@camphorlock/http/exchange";
import type { CallerExchange } from "./caller_exchange.ts";
import {
  startStreaming,
  type StreamAttemptOptions,
  type StreamGrant,
} from "./stream_attempt.ts";

const MAX_CALLS = 50;

/** A connection whose response the test sends. */
class FakeConnection {
  receiver: ResponseReceiver | undefined;
  isCancelled = false;

  start(_request: PeerRequest, receiver: ResponseReceiver): Exchange {
    this.receiver = receiver;
    return {
      cancel: () => this.isCancelled = true,
      wasSent: true,
      isReused: false,
      pause: () => {},
      resume: () => {},
    };
  }
}

function buildOptions(grant: StreamGrant): StreamAttemptOptions {
  return {
    codec: {
      decodeResponse: () => ({
        requestId: "r1",
        isNotRun: false,
        impliesNotRun: false,
        hasSignature: true,
      }),
      encodeResponseHeaders: () => ({}),
    } as unknown as StreamAttemptOptions["codec"],
    requestId: "r1",
    share: new ByteBudget(1_000_000).open(),
    timeoutMs: 5_000,
    progress: { lastEventId: 0, events: 0, firstEventMs: undefined },
    caller: {
      hasSentHead: true,
      onDrain: () => {},
      sendEvents: () => true,
    } as unknown as CallerExchange,
    grant,
    recordEvent: () => {},
    recordStatement: () => {},
  };
}

describe("a streaming attempt", () => {
  // A caller of a stream that can't be resumed left while an event waited for
  // tokens; the gateway then did nothing else any more.
  it("ends when its turn is closed while an event waits for tokens", async () => {
    let calls = 0;
    const connection = new FakeConnection();
    const attempt = startStreaming(
      connection as unknown as PeerConnection,
      {} as PeerRequest,
      buildOptions({
        isFull: false,
        addEvent: () => {
          calls += 1;
          if (calls > MAX_CALLS) throw new Error("the attempt never waits");
          return false;
        },
        waitForMore: () => Promise.resolve(false),
      }),
    );
    connection.receiver?.handleHead(200, {});
    connection.receiver?.handleData(Buffer.from("id: 1\ndata: x\n\n"));
    expect(await attempt.result).to.deep.equal({
      kind: "broken",
      detail: "the turn was closed before its tokens were granted",
    });
    expect(connection.isCancelled).to.equal(true);
  });
});

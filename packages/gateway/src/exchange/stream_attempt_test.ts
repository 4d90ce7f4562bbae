import { ByteBudget } from "../decisions/byte_budget.ts";
import { expect } from "chai";
import type {
  Exchange,
  ExchangeEnd,
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
    recordDropped: () => {},
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

  /** Runs an attempt that receives a text; `isWhole` if it ends in order. */
  async function receive(
    text: string,
    { isWhole = true, change = {} }: {
      isWhole?: boolean;
      change?: Partial<StreamAttemptOptions>;
    } = {},
  ): Promise<{ kind: string; sent: string; options: StreamAttemptOptions }> {
    const sent: string[] = [];
    let hasSentHead = false;
    const connection = new FakeConnection();
    const options: StreamAttemptOptions = {
      ...buildOptions({
        isFull: false,
        addEvent: () => true,
        waitForMore: () => Promise.resolve(true),
      }),
      caller: {
        get hasSentHead() {
          return hasSentHead;
        },
        openStream: () => hasSentHead = true,
        onDrain: () => {},
        sendEvents: (bytes: Uint8Array) => {
          sent.push(Buffer.from(bytes).toString("latin1"));
          return true;
        },
      } as unknown as CallerExchange,
      ...change,
    };
    const attempt = startStreaming(
      connection as unknown as PeerConnection,
      {} as PeerRequest,
      options,
    );
    connection.receiver?.handleHead(200, {});
    connection.receiver?.handleData(Buffer.from(text, "latin1"));
    connection.receiver?.handleEnd(
      isWhole
        ? { kind: "ended" } as ExchangeEnd
        : { kind: "broken", detail: "reset" },
    );
    const { kind } = await attempt.result;
    return { kind, sent: sent.join(""), options };
  }

  const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

  // Each of these counted as an event, so that another target went on later.
  for (
    const bytes of [
      "\n".repeat(16),
      ": comment\n\n",
      "wrong\n\n",
      "id: 7\n\n",
      "event: x\n\n",
      "data: wrong\n\n",
      "id: x\ndata: wrong\n\n",
    ]
  ) {
    it(`goes on after its last event beyond ${JSON.stringify(bytes)}`, async () => {
      const end = { isWhole: false };
      const { kind, options } = await receive(events + bytes, end);
      expect(kind).to.equal("broken");
      expect(options.progress).to.include({ lastEventId: 2, events: 2 });
    });
  }

  // Comments took the numbers of the events behind them.
  it("forwards a sound stream with comments as it came", async () => {
    const text = `: x\n\n${events.replaceAll("id:", ": x\n\nid:")}: x\n\n`;
    const { kind, sent, options } = await receive(text);
    expect(kind).to.equal("completed");
    expect(sent).to.equal(text);
    expect(options.progress).to.include({ lastEventId: 2, events: 2 });
  });

  it("forwards nothing of an attempt that has no event", async () => {
    const { kind, sent } = await receive(": x\n\n\n\n", { isWhole: false });
    expect({ kind, sent }).to.deep.equal({ kind: "broken", sent: "" });
  });

  it("counts tokens for events only", async () => {
    let counted = 0;
    const grant = {
      isFull: false,
      addEvent: () => {
        counted += 1;
        return true;
      },
      waitForMore: () => Promise.resolve(true),
    };
    const text = `\n\n: x\n\n${events}wrong\n\n\n`;
    await receive(text, { change: { grant } });
    expect(counted).to.equal(2);
  });

  it("reports the bytes that it drops", async () => {
    const dropped: number[] = [];
    const change = { recordDropped: (bytes: number) => dropped.push(bytes) };
    const { sent } = await receive(`${events}wrong\n\n`, { change });
    expect(sent).to.equal(events);
    expect(dropped).to.deep.equal([7]);
  });

  it("breaks off a stream of comments without end", async () => {
    const { kind, options } = await receive(events + ": x\n\n".repeat(60_000));
    expect(kind).to.equal("broken");
    expect(options.progress.lastEventId).to.equal(2);
  });
});

import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildConfiguration, GatewayFixture } from "./gateway_fixture_test.ts";

const EVENTS = 5;
const BREAK_AFTER = 2;
/** Bytes that end with an empty line and are no event of the stream. */
const WRONG_BYTES = [
  "\n".repeat(16),
  "\r\n\r\n",
  ": comment\n\n",
  "wrong\n\n",
  "id: 4\n\n",
  "data: wrong\n\n",
  "event: wrong\n\n",
];

/** Responds with the events after the last one that the caller has. */
function sendEvents(
  request: IncomingMessage,
  response: ServerResponse,
  { before = "", last = EVENTS }: { before?: string; last?: number } = {},
): void {
  response.writeHead(200, { signed: "1" });
  const after = Number(request.headers["resume-after"] ?? 0);
  for (let id = after + 1; id <= last; id += 1) {
    response.write(`${before}id: ${id}\ndata: x\n\n`);
  }
}

describe("a stream with bytes that are no events", () => {
  let fixture: GatewayFixture;

  beforeEach(() => {
    fixture = new GatewayFixture();
    const configuration = buildConfiguration(1);
    const routes = configuration.routes
      .map((route) => ({ ...route, maxTargets: 2 }));
    fixture.store.put("configuration", "main", { ...configuration, routes });
  });

  afterEach(() => fixture.stop());

  // They counted as events, and the stream went on after a later number: it
  // ended as complete without the events between.
  for (const wrong of WRONG_BYTES) {
    it(`is resumed after its last event beyond ${JSON.stringify(wrong)}`, async () => {
      let answers = 0;
      for (const id of ["t1", "t2"]) {
        (await fixture.addTarget(id)).handle = (request, response) => {
          answers += 1;
          const isFaulty = answers === 1;
          const last = isFaulty ? BREAK_AFTER : EVENTS;
          sendEvents(request, response, { last });
          if (!isFaulty) return response.end();
          response.write(wrong);
          return setTimeout(() => response.destroy(), 30);
        };
      }
      await fixture.addGateway("g1");
      const { text, isComplete } = await fixture.sendRequest(
        fixture.ports[0] ?? 0,
        { path: "/stream/1" },
      );
      expect(answers).to.equal(2);
      expect(isComplete).to.equal(true);
      expect(text.match(/^id: \d/gm)).to.deep
        .equal(["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
    });
  }

  // As servers do to keep connections open; each took the next event's number.
  for (const before of [": keep-alive\n\n", "\n", ": a\n: b\n\n\n"]) {
    it(`has all events, each after ${JSON.stringify(before)}`, async () => {
      (await fixture.addTarget("t1")).handle = (request, response) => {
        sendEvents(request, response, { before });
        response.end(before);
      };
      await fixture.addGateway("g1");
      const { text, isComplete } = await fixture.sendRequest(
        fixture.ports[0] ?? 0,
        { path: "/stream/1" },
      );
      const events = Array.from(
        { length: EVENTS },
        (_, at) => `${before}id: ${at + 1}\ndata: x\n\n`,
      );
      expect(isComplete).to.equal(true);
      expect(text).to.equal(events.join("") + before);
    });
  }
});

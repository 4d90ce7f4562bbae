import { RESULT_CODES } from "@camphorlock/codes/result_codes";
import { expect } from "chai";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  sendCompleteResponse,
  waitUntil,
} from "../gateway_fixture_test.ts";

/** Two routes of different priorities, whose requests may run for 3 s. */
function buildOrderedConfiguration(): ReturnType<typeof buildConfiguration> {
  const { routes, ...others } = buildConfiguration(1);
  const [safe] = routes;
  if (safe === undefined) throw new Error("no route");
  const route = { ...safe, timeoutMs: 3_000 };
  return {
    ...others,
    routes: [
      { ...route, name: "urgent", pathPrefix: "/urgent/", priority: 0 },
      { ...route, name: "other", pathPrefix: "/other/", priority: 5 },
    ],
  };
}

describe("the queue of a gateway", function () {
  this.timeout(20_000);
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let port: number;
  let isFull: boolean;
  let served: string[];

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildOrderedConfiguration());
    target = await fixture.addTarget("t1");
    isFull = true;
    served = [];
    target.handle = (request, response) => {
      if (isFull) {
        response.writeHead(503, { "not-run": "1" });
        response.end();
        return;
      }
      served.push(request.url ?? "");
      sendCompleteResponse(request, response);
    };
    await fixture.addGateway("g1", {
      bounds: {
        configurationMs: 2_500,
        drainMs: 2_500,
        graceMs: 1_500,
        revocationMs: undefined,
      },
    });
    port = fixture.ports[0] ?? 0;
  });

  afterEach(() => fixture.stop());

  function send(
    path: string,
    options: { deadlineMs?: number; disconnectAfterMs?: number } = {},
  ): ReturnType<GatewayFixture["sendRequest"]> {
    const { deadlineMs = 3_000, disconnectAfterMs } = options;
    return fixture.sendRequest(port, {
      path,
      headers: { id: path, deadline: String(deadlineMs) },
      ...disconnectAfterMs === undefined ? {} : { disconnectAfterMs },
    });
  }

  function findLine(name: string, request: string) {
    return fixture.lines.find((line) =>
      line.name === name && line.request === request
    );
  }

  // Requests polled in no order, so that whoever polled first was served.
  it("serves the more urgent request first, though it came later", async () => {
    const other = send("/other/1");
    await waitUntil(() => target.receivedPaths.includes("/other/1"));
    const urgent = send("/urgent/1");
    await waitUntil(() => target.receivedPaths.includes("/urgent/1"));
    isFull = false;
    expect((await urgent).status).to.equal(200);
    expect((await other).status).to.equal(200);
    expect(served).to.deep.equal(["/urgent/1", "/other/1"]);
    await waitUntil(() => findLine("RequestQueued", "/other/1") !== undefined);
    const line = findLine("RequestQueued", "/other/1");
    expect(line).to.include({ class: 1, classes: 2 });
    expect(line).to.include.keys(
      "position",
      "queue_wait_ms",
      "view_age_ms",
      "left_ms",
    );
  });

  // Callers waited for 0.4 of their time before a refusal that was certain.
  it("refuses at once what no target can answer in time", async () => {
    target.handle = (request, response) =>
      void setTimeout(() => sendCompleteResponse(request, response), 1_200);
    const running = send("/urgent/1");
    await waitUntil(() => target.receivedPaths.length > 0);
    await new Promise((resolve) => setTimeout(resolve, 600));
    const startedAtMs = performance.now();
    const refused = await send("/urgent/2", { deadlineMs: 300 });
    expect(performance.now() - startedAtMs).to.be.below(150);
    expect(refused.status).to.equal(503);
    expect(JSON.parse(refused.text).code)
      .to.equal(RESULT_CODES.CannotFinish.code);
    const retryAfterMs = Number(refused.headers["retry-after"]) * 1_000;
    expect(retryAfterMs).to.be.within(1, 100);
    expect(target.receivedPaths).to.deep.equal(["/urgent/1"]);
    expect((await running).status).to.equal(200);
    await waitUntil(() =>
      findLine("RequestRefused", "/urgent/2") !== undefined
    );
    expect(findLine("RequestRefused", "/urgent/2"))
      .to.include.keys("class", "position", "target_wait_ms", "view_age_ms");
  });

  // A request whose caller had gone would have taken another one's place.
  it("forgets a request whose caller disconnects", async () => {
    send("/other/1", { disconnectAfterMs: 100 }).catch(() => {});
    await waitUntil(() =>
      findLine("RequestAbandoned", "/other/1") !== undefined
    );
    isFull = false;
    expect((await send("/urgent/1")).status).to.equal(200);
    expect(served).to.deep.equal(["/urgent/1"]);
  });

  // A caller got no answer when the process ended.
  it("refuses what waits when the process stops", async () => {
    const waiting = send("/other/1");
    await waitUntil(() => target.receivedPaths.length > 0);
    const startedAtMs = performance.now();
    const stopped = fixture.gateways[0]?.stop();
    const { status } = await waiting;
    expect(status).to.equal(503);
    expect(performance.now() - startedAtMs).to.be.below(2_000);
    await stopped;
    expect(served).to.deep.equal([]);
  });

  // A refusal came only at the end of the caller's time.
  it("refuses what has waited while it can still be answered", async () => {
    const startedAtMs = performance.now();
    const { status, text } = await send("/other/1", { deadlineMs: 200 });
    expect(status).to.equal(503);
    expect(performance.now() - startedAtMs).to.be.within(100, 200);
    // The last attempt may end when there's no time for a further one.
    expect(JSON.parse(text).code).to.be.oneOf([
      RESULT_CODES.CannotFinish.code,
      RESULT_CODES.Overloaded.code,
    ]);
  });
});

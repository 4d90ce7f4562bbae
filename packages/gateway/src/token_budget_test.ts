import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildConfiguration, GatewayFixture } from "./gateway_fixture_test.ts";

const EVENTS_PER_TURN = 5;
/** As in the fixture's configuration. */
const TOKENS_PER_EVENT = 10;
const BUDGET_TOKENS = 120;
const TURN_TOKENS = 60;
/** Time after which gateways that started together are in a steady state. */
const START_MS = 2_500;

function sendEventResponse(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(200, { signed: "1" });
  for (let id = 1; id <= EVENTS_PER_TURN; id += 1) {
    response.write(`id: ${id}\ndata: x\n\n`);
  }
  response.end();
}

describe("a program's token budget", () => {
  let fixture: GatewayFixture;
  let turns = 0;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    (await fixture.addTarget("t1")).handle = sendEventResponse;
  });

  afterEach(() => fixture.stop());

  /** Sends turns one after another and counts the tokens received. */
  async function runTurns(port: number, count: number): Promise<number> {
    let tokens = 0;
    for (let turn = 0; turn < count; turn += 1) {
      turns += 1;
      const { text } = await fixture.sendRequest(port, {
        path: "/stream/1",
        headers: {
          id: `turn-${turns}`,
          budget: `p,${BUDGET_TOKENS},${TURN_TOKENS}`,
        },
      });
      tokens += TOKENS_PER_EVENT * (text.match(/^id:/gm)?.length ?? 0);
      await new Promise((resolve) => setTimeout(resolve, 30));
    }
    return tokens;
  }

  // Issue 14: the store was down for six seconds, then all VMs lost power.
  it("isn't exceeded when all gateways are killed while the store is down", async () => {
    await fixture.addGateway("g1");
    await fixture.addGateway("g2");
    // Without the store, programs are served only from a cached shard table.
    await new Promise((resolve) => setTimeout(resolve, START_MS));
    fixture.store.isDown = true;
    const before = await runTurns(fixture.ports[0] ?? 0, 4);
    await Promise.all(fixture.gateways.map((gateway) => gateway.close()));
    fixture.store.isDown = false;
    await fixture.addGateway("g1");
    await fixture.addGateway("g2");
    const after = await runTurns(fixture.ports[2] ?? 0, 4);
    expect(before).to.be.greaterThan(0);
    expect(before + after).to.be.at.most(BUDGET_TOKENS + TURN_TOKENS);
  });
});

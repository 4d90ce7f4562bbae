import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import { buildConfiguration, GatewayFixture } from "./gateway_fixture_test.ts";

const EVENTS_PER_TURN = 5;
/** As in the fixture's configuration. */
const TOKENS_PER_EVENT = 10;
const BUDGET_TOKENS = 120;
const TURN_TOKENS = 60;
/** Turns of a budget, all of which generate what they declare. */
const WHOLE_TURNS = 8;
/** Time after a start within which lost holders of shards are replaced. */
const REPLACEMENT_MS = 4_500;
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
  async function runTurns(
    port: number,
    count: number,
    budget = `p,${BUDGET_TOKENS},${TURN_TOKENS}`,
  ): Promise<number> {
    let tokens = 0;
    for (let turn = 0; turn < count; turn += 1) {
      turns += 1;
      const { text } = await fixture.sendRequest(port, {
        path: "/stream/1",
        headers: { id: `turn-${turns}`, budget },
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

  /** Starts two gateways and disks, and waits until first allowances are given. */
  async function startWithDisks(): Promise<void> {
    for (const vmId of ["d1", "d2", "d3"]) await fixture.addKeeper(vmId);
    await fixture.addGateway("g1");
    await fixture.addGateway("g2");
    await new Promise((resolve) => setTimeout(resolve, START_MS));
  }

  /** Kills gateways and starts them again; they have new ports. */
  async function killAndStart(vmIds: readonly string[]): Promise<void> {
    await Promise.all(
      vmIds.map((vmId) => fixture.gateways[vmId === "g1" ? 0 : 1]?.close()),
    );
    for (const vmId of vmIds) await fixture.addGateway(vmId);
    await new Promise((resolve) => setTimeout(resolve, REPLACEMENT_MS));
  }

  // Programs got half of their budget, then 503, for an hour after a kill.
  for (const vmIds of [["g1"], ["g2"], ["g1", "g2"]]) {
    it(`is whole for programs that begin after a kill of ${vmIds}`, async () => {
      await startWithDisks();
      await killAndStart(vmIds);
      const port = fixture.ports.at(-1) ?? 0;
      for (const program of ["p", "q", "r", "s"]) {
        const budget = `${program},${WHOLE_TURNS * 50},50`;
        expect(await runTurns(port, WHOLE_TURNS + 2, budget))
          .to.equal(WHOLE_TURNS * 50);
      }
    }).timeout(30_000);

    it(`loses no turn that wasn't run to a kill of ${vmIds}`, async () => {
      await startWithDisks();
      const programs = ["p", "q", "r", "s"];
      const buildBudget = (id: string) => `${id},${WHOLE_TURNS * 50},50`;
      for (const program of programs) {
        const port = fixture.ports[0] ?? 0;
        expect(await runTurns(port, 2, buildBudget(program))).to.equal(100);
      }
      await killAndStart(vmIds);
      const port = fixture.ports.at(-1) ?? 0;
      for (const program of programs) {
        expect(await runTurns(port, WHOLE_TURNS, buildBudget(program)))
          .to.equal((WHOLE_TURNS - 2) * 50);
      }
    }).timeout(30_000);
  }
});

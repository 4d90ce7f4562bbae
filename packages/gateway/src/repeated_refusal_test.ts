import type { Socket } from "node:net";
import { expect } from "chai";
import { buildConfiguration, GatewayFixture } from "./gateway_fixture_test.ts";
import { buildResponse, RawTarget } from "./raw_target_test.ts";

const EVENT = "id: 1\ndata: x\n\n";

function buildRefusal(id: string): string {
  return "HTTP/1.1 503 Busy\r\nnot-run: 1\r\n" +
    `id: ${id}\r\ncontent-length: 0\r\n\r\n`;
}

// Refused attempts of one request bear the same id, so that a refusal which a
// target wrote once more was read as the response to the next attempt.
describe("a refusal that a target writes once more", () => {
  let fixture: GatewayFixture;
  let faulty: RawTarget;
  let other: RawTarget;
  let runs: string[];
  let connections: Set<Socket>;

  beforeEach(async () => {
    runs = [];
    connections = new Set();
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    faulty = new RawTarget();
    other = new RawTarget();
    fixture.store.put("targets", "faulty", await faulty.startAs("faulty"));
    fixture.store.put("targets", "other", await other.startAs("other"));
    await fixture.addGateway("g1");
  });

  afterEach(async () => {
    await fixture.stop();
    faulty.stop();
    other.stop();
  });

  /**
   * Both targets are full at first. The faulty one then runs the request, and
   * repeats its refusal on a connection that it was sent on.
   */
  function serveFaulty(refusals: number): void {
    faulty.handle = (socket, id) => {
      const isUsed = connections.has(socket);
      connections.add(socket);
      if (faulty.requests <= refusals) {
        socket.write(buildRefusal(id));
        return;
      }
      runs.push("faulty");
      if (isUsed) socket.write(buildRefusal(id));
      setTimeout(() => socket.write(buildResponse(EVENT, id)), 30);
    };
    other.handle = (socket, id) => {
      if (runs.length === 0) {
        socket.write(buildRefusal(id));
        return;
      }
      runs.push("other");
      socket.write(buildResponse(EVENT, id));
    };
  }

  for (const path of ["/once/1", "/safe/1", "/stream/1"]) {
    it(`doesn't run a request to ${path} at a second target`, async () => {
      serveFaulty(2);
      const { status, text } = await fixture.sendRequest(
        fixture.ports[0] ?? 0,
        { path },
      );
      expect(runs).to.have.length(1);
      expect(status).to.equal(200);
      expect(text).to.equal(EVENT);
    });
  }

  it("refuses no request that runs", async () => {
    other.stop();
    fixture.store.drop("targets", "other");
    serveFaulty(1);
    const { status } = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/once/1",
    });
    expect(runs).to.deep.equal(["faulty"]);
    expect(status).to.equal(200);
  });
});

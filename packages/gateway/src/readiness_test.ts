import { expect } from "chai";
import { buildConfiguration, GatewayFixture } from "./gateway_fixture_test.ts";

describe("the readiness of a gateway", () => {
  let fixture: GatewayFixture;

  beforeEach(() => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
  });

  afterEach(() => fixture.stop());

  // Without a target no gateway ever became ready, so that a deployment whose
  // targets are started after its gateways never started.
  it("needs no target, only the word of the store that there is none", async () => {
    // Waits until the gateway is ready.
    await fixture.addGateway("g1");
    const refused = await fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: "/safe/1",
    });
    expect(refused.status).to.equal(503);
    await fixture.addTarget("t1");
    let status = 503;
    while (status !== 200) {
      ({ status } = await fixture.sendRequest(fixture.ports[0] ?? 0, {
        path: "/safe/1",
      }));
    }
  }).timeout(10_000);

  // Operators write the first configuration once the gateways are ready; these
  // waited for it, so that the system never started.
  it("needs no configuration, only the word of the store that there is none", async () => {
    fixture.store.remove("configuration", "main");
    // Waits until the gateway is ready.
    await fixture.addGateway("g1");
    const port = fixture.ports[0] ?? 0;
    const refused = await fixture.sendRequest(port, { path: "/safe/1" });
    expect(refused.status).to.equal(503);
    await fixture.addTarget("t1");
    fixture.store.put("configuration", "main", buildConfiguration(1));
    let status = 503;
    while (status !== 200) {
      ({ status } = await fixture.sendRequest(port, { path: "/safe/1" }));
    }
  }).timeout(10_000);

  it("isn't given for a configuration that can't be used", async () => {
    fixture.store.put("configuration", "main", "unreadable");
    const { answer } = await fixture.startUnready({}, async () => {
      await new Promise((resolve) => setTimeout(resolve, 500));
      return fixture.lines.filter(({ name }) => name === "GatewayReady");
    });
    expect(answer).to.deep.equal([]);
  });

  it("isn't given while the targets aren't known", async () => {
    fixture.store.isDown = true;
    const { answer } = await fixture.startUnready({}, async () => {
      await new Promise((resolve) => setTimeout(resolve, 500));
      return fixture.lines.filter(({ name }) => name === "GatewayReady");
    });
    expect(answer).to.deep.equal([]);
  });
});

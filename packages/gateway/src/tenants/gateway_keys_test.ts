import type { IncomingHttpHeaders } from "node:http";
import { connect } from "node:net";
import { expect } from "chai";
import { openDirectly, type SocketOpener } from "@camphorlock/http/exchange";
import {
  buildConfiguration,
  type FakeTarget,
  GatewayFixture,
  sendCompleteResponse,
  waitUntil,
} from "../gateway_fixture_test.ts";
import type { RoutingConfiguration } from "../model/routing.ts";

const KEY = "secret-of-red";
const OTHER_KEY = "secret-of-blue";
/** Short, so that the tests needn't wait five seconds. */
const REVOCATION_MS = 2_000;
const BOUNDS = {
  configurationMs: 2_500,
  drainMs: 2_500,
  graceMs: 4_000,
  revocationMs: REVOCATION_MS,
};

function buildWithTenants(
  version: number,
  keys: readonly string[] = [KEY],
): RoutingConfiguration {
  const configuration = buildConfiguration(version);
  return {
    ...configuration,
    routes: [
      ...configuration.routes.map((route) => ({ ...route, timeoutMs: 3_000 })),
      ...configuration.routes.slice(0, 1).map((route) => ({
        ...route,
        name: "open",
        pathPrefix: "/open/",
        isPublic: true,
      })),
    ],
    tenants: [
      { name: "red", keys, priority: undefined, quota: undefined },
      { name: "blue", keys: [OTHER_KEY], priority: 1, quota: undefined },
    ],
  };
}

describe("a gateway with tenants", () => {
  let fixture: GatewayFixture;
  let target: FakeTarget;
  let received: IncomingHttpHeaders[];
  let nextId: number;

  beforeEach(async () => {
    nextId = 0;
    received = [];
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildWithTenants(1));
    target = await fixture.addTarget("t1");
    target.handle = (request, response) => {
      received.push(request.headers);
      sendCompleteResponse(request, response);
    };
  });

  afterEach(() => fixture.stop());

  function send(path: string, headers: Record<string, string> = {}) {
    nextId += 1;
    return fixture.sendRequest(fixture.ports[0] ?? 0, {
      path,
      headers: { id: `r${nextId}`, deadline: "3000", ...headers },
    });
  }

  function listLines(name: string): Record<string, unknown>[] {
    return fixture.lines.filter((line) => line["name"] === name);
  }

  it("serves a known key, and no other", async () => {
    await fixture.addGateway("g1");
    expect((await send("/safe/1", { key: KEY })).status).to.equal(200);
    const refused = [
      await send("/safe/2", { key: "unknown" }),
      await send("/safe/3"),
    ];
    expect(refused.map(({ status }) => status)).to.deep.equal([401, 401]);
    expect(refused.map(({ headers }) => headers["retry-after"]))
      .to.deep.equal([undefined, undefined]);
    expect(target.receivedPaths).to.deep.equal(["/safe/1"]);
    await waitUntil(() => listLines("RequestRefused").length === 2);
    const [line] = listLines("RequestRefused");
    expect(line).to.include({ request: "r2", code: 1_010, configuration: 1 });
    expect(line?.["configuration_age_ms"]).to.be.a("number");
    expect(listLines("RequestAnswered")[0]).to.include({ tenant: "red" });
  });

  // A caller could pass for another tenant, and a target could use a key.
  it("states the tenant to the target, and never a key", async () => {
    await fixture.addGateway("g1");
    await send("/safe/1", { key: KEY, tenant: "blue" });
    await send("/open/1", { tenant: "blue" });
    await send("/open/2", { key: "unknown", tenant: "blue" });
    await send("/open/3", { key: OTHER_KEY });
    expect(received.map(({ tenant }) => tenant))
      .to.deep.equal(["red", undefined, undefined, "blue"]);
    expect(received.map(({ key }) => key))
      .to.deep.equal([undefined, undefined, undefined, undefined]);
  });

  it("states the tenant in each attempt, and where a stream goes on", async () => {
    await fixture.addGateway("g1");
    target.handle = (request, response) => {
      received.push(request.headers);
      if (received.length === 1) return request.socket.destroy();
      const from = Number(request.headers["resume-after"]) + 1;
      response.writeHead(200, { signed: "1" });
      response.write(`id: ${from}\ndata: x\n\n`);
      if (from < 3) {
        return setTimeout(() => request.socket.resetAndDestroy(), 20);
      }
      response.end();
    };
    const result = await send("/stream/1", { key: KEY, tenant: "blue" });
    expect(result.isComplete).to.equal(true);
    expect(received.length).to.be.at.least(4);
    for (const headers of received) {
      expect(headers).to.include({ tenant: "red" });
      expect(headers).not.to.have.property("key");
    }
  });

  it("states the tenant on connections through another gateway", async () => {
    const links = { isCut: false };
    const openSocket: SocketOpener = (address, timeoutMs) =>
      links.isCut
        ? Promise.reject(new Error("unreachable"))
        : openDirectly(address, timeoutMs);
    await fixture.addTarget("t2");
    await fixture.addGateway("g1", { openSocket });
    await fixture.addGateway("g2", {
      seeds: fixture.peerAddresses.slice(0, 1),
    });
    await waitUntil(() => listLines("PeerChanged").length >= 2);
    links.isCut = true;
    await waitUntil(async () => {
      await send("/safe/1", { key: KEY, tenant: "blue" });
      return received.length > 0;
    });
    expect(received[0]).to.include({ tenant: "red" });
    expect(received[0]).not.to.have.property("key");
  }).timeout(20_000);

  it("forwards the headers of callers as they are without tenants", async () => {
    fixture.store.put("configuration", "main", {
      ...buildWithTenants(2),
      tenants: undefined,
    });
    await fixture.addGateway("g1", { bounds: BOUNDS });
    await send("/safe/1", { key: "any", tenant: "blue" });
    expect(received[0]).to.include({ key: "any", tenant: "blue" });
  });

  it("refuses before the body is read", async () => {
    await fixture.addGateway("g1");
    const text = await new Promise<string>((resolve) => {
      let answer = "";
      const socket = connect(fixture.ports[0] ?? 0, "127.0.0.1");
      socket.on("data", (bytes) => {
        answer += bytes.toString();
        if (answer.includes("1010")) socket.destroy();
      });
      socket.on("close", () => resolve(answer));
      socket.write(
        "POST /once/1 HTTP/1.1\r\nhost: a.example\r\nid: r1\r\n" +
          "content-length: 900\r\n\r\nbegun",
      );
    });
    expect(text).to.match(/^HTTP\/1.1 401 .*1010/s);
    expect(target.receivedPaths).to.deep.equal([]);
  });

  // The head was sent while the key was in force, the body long after.
  it("checks the key again once the body has arrived", async () => {
    await fixture.addGateway("g1", { bounds: BOUNDS });
    const socket = connect(fixture.ports[0] ?? 0, "127.0.0.1");
    let answer = "";
    socket.on("data", (bytes) => answer += bytes.toString());
    socket.write(
      `POST /once/1 HTTP/1.1\r\nhost: a.example\r\nid: r1\r\nkey: ${KEY}\r\n` +
        "content-length: 8\r\n\r\nhalf",
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    fixture.store.put("configuration", "main", buildWithTenants(2, []));
    await waitUntil(() => listLines("ConfigurationInForce").length === 2);
    socket.write("half");
    await waitUntil(() => answer.includes("1010"));
    socket.destroy();
    expect(answer).to.match(/^HTTP\/1.1 401 /);
    expect(target.receivedPaths).to.deep.equal([]);
  });

  it("follows keys that are added and removed in quick succession", async () => {
    await fixture.addGateway("g1", { bounds: BOUNDS });
    for (const version of [2, 4, 6]) {
      const added = buildWithTenants(version, ["new"]);
      fixture.store.put("configuration", "main", added);
      fixture.store
        .put("configuration", "main", buildWithTenants(version + 1, [KEY]));
    }
    await waitUntil(async () =>
      (await send("/safe/1", { key: "new" })).status === 401
    );
    expect((await send("/safe/2", { key: KEY })).status).to.equal(200);
    fixture.store.put("configuration", "main", buildWithTenants(8, ["new"]));
    await waitUntil(async () =>
      (await send("/safe/3", { key: "new" })).status === 200
    );
    expect((await send("/safe/4", { key: KEY })).status).to.equal(401);
  }).timeout(20_000);

  // The store may have taken a key away since it was last reached.
  it("accepts no key and isn't ready while the keys aren't confirmed", async () => {
    await fixture.addGateway("g1", { bounds: BOUNDS });
    expect((await send("/safe/1", { key: KEY })).status).to.equal(200);
    fixture.store.isDown = true;
    await waitUntil(async () =>
      (await send("/safe/2", { key: KEY })).status === 503
    );
    const refused = await send("/safe/3", { key: KEY });
    expect(refused.text).to.include("KeysUnconfirmed");
    expect(Number(refused.headers["retry-after"])).to.be.above(0);
    expect((await send("/safe/4", { key: "unknown" })).status).to.equal(503);
    expect((await send("/open/1", { key: KEY })).status).to.equal(200);
    expect(received.at(-1)).not.to.have.any.keys("key", "tenant");
    expect(await isReady()).to.equal(false);
    fixture.store.isDown = false;
    await waitUntil(async () =>
      (await send("/safe/5", { key: KEY })).status === 200
    );
    expect(await isReady()).to.equal(true);
    await waitUntil(() => listLines("KeyAuthorityChanged").length === 2);
    expect(target.receivedPaths).not.to.include.members(["/safe/3", "/safe/4"]);
  }).timeout(20_000);

  it("writes no key into a log line", async () => {
    const gateway = await fixture.addGateway("g1");
    target.handle = (request) => request.socket.destroy();
    await send("/once/1", { key: KEY });
    await send("/safe/1", { key: `${OTHER_KEY}-unknown` });
    await gateway.close();
    expect(fixture.lines.length).to.be.above(2);
    expect(JSON.stringify(fixture.lines)).not.to.include("secret");
  });

  async function isReady(): Promise<boolean> {
    const { status } = await fixture
      .sendRequest(fixture.readinessPorts[0] ?? 0, {});
    return status === 200;
  }
});

import {
  type BufferedResponse,
  PeerConnection,
  runBufferedExchange,
} from "@camphorlock/http";
import { expect } from "chai";
import { type RunningService, serveService } from "../service/serve_service.ts";
import { type RunningBalancer, serveBalancer } from "./serve_balancer.ts";

const LIMITS = { totalTimeoutMs: 2_000, maxBytes: 1_000 };

describe("balancer", () => {
  let services: RunningService[];
  let balancer: RunningBalancer;
  let connection: PeerConnection;

  beforeEach(async () => {
    services = [await serveService(), await serveService()];
    const backends = services.map(({ address }) => address);
    balancer = await serveBalancer({ backends });
    connection = new PeerConnection({ baseUrl: `http://${balancer.address}` });
  });

  afterEach(async () => {
    await connection.close();
    await balancer.stop();
    await Promise.all(services.map((service) => service.stop()));
  });

  function run(
    key: string,
    freshConnection: boolean,
  ): Promise<BufferedResponse> {
    return runBufferedExchange(connection, {
      method: "POST",
      path: "/v1/operations/quote",
      headers: { "idempotency-key": key },
      body: "{}",
      silenceTimeoutMs: 100,
      freshConnection,
    }, LIMITS);
  }

  it("distributes connections across its back ends", async () => {
    for (const key of ["a", "b", "c", "d"]) {
      expect((await run(key, true)).kind).to.equal("answered");
    }
    const counts = services.map(({ control }) => control.requests);
    expect(counts).to.deep.equal([2, 2]);
  });

  it("makes open connections silent while new ones work", async () => {
    expect((await run("a", false)).kind).to.equal("answered");
    // The pool reuses a connection from the next turn of the event loop.
    await new Promise((resolve) => setImmediate(resolve));
    for (const { address } of services) balancer.control.setOpenSilent(address);
    expect((await run("b", false)).kind).to.equal("broken");
    expect((await run("c", false)).kind).to.equal("answered");
  });

  it("keeps connections to a silent back end open", async () => {
    const silent = services[0]?.address ?? "";
    balancer.control.setBackendSilent(silent, true);
    const kinds = [await run("a", true), await run("b", true)];
    expect(kinds.map(({ kind }) => kind)).to.deep.equal(["broken", "answered"]);
    expect(services[0]?.control.requests).to.equal(0);
  });
});

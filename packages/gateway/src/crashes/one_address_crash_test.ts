import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { TRIAL_MS } from "../decisions/address_trials.ts";
import {
  buildConfiguration,
  GatewayFixture,
  waitUntil,
} from "../gateway_fixture_test.ts";

const RESTART_MS = 200;
const WORK_MS = 20;
const BODY = "crashing";

/** A target that starts again at its address, under another id. */
class RestartingTarget {
  readonly #fixture: GatewayFixture;
  readonly #name: string;
  readonly #failureDomain: string;
  crashes = 0;
  #server: Server | undefined;
  #port = 0;
  #starts = 0;
  #isStopped = false;

  constructor(fixture: GatewayFixture, name: string, failureDomain: string) {
    this.#fixture = fixture;
    this.#name = name;
    this.#failureDomain = failureDomain;
  }

  async start(): Promise<void> {
    this.#starts += 1;
    const server = createServer((request, response) => {
      let body = "";
      request.on("data", (bytes) => body += bytes);
      request.on("end", () => {
        if (body === BODY) return this.#crash();
        response.setHeader("id", request.headers["id"] ?? "");
        response.setHeader("signed", "1");
        setTimeout(() => response.end("done"), WORK_MS);
      });
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(this.#port, "127.0.0.1", () => resolve())
    );
    this.#port = (server.address() as AddressInfo).port;
    this.#fixture.store.put("targets", this.#getId(), {
      id: this.#getId(),
      service: "s",
      host: "127.0.0.1",
      port: this.#port,
      failureDomain: this.#failureDomain,
      state: "ready",
      version: "v1",
      slots: 4,
      startedAtMs: this.#starts,
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#end();
  }

  #getId(): string {
    return `${this.#name}-${this.#starts}`;
  }

  #crash(): void {
    this.crashes += 1;
    this.#end();
    setTimeout(() => {
      this.#fixture.store.drop("targets", this.#getId());
      if (!this.#isStopped) void this.start();
    }, RESTART_MS);
  }

  #end(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}

// All ends that a request meets are at the nearest target, or at the only one,
// so that it was never told from a target that ends by itself.
describe("an order that crashes the target that its gateway prefers", () => {
  let fixture: GatewayFixture;
  let targets: RestartingTarget[];
  let isEnding: boolean;

  beforeEach(() => {
    fixture = new GatewayFixture();
    fixture.store.put("configuration", "main", buildConfiguration(1));
    isEnding = false;
  });

  afterEach(async () => {
    for (const target of targets) target.stop();
    await fixture.stop();
  });

  async function startTargets(count: number): Promise<void> {
    targets = Array.from(
      { length: count },
      (_, at) => new RestartingTarget(fixture, `t${at}`, "abc"[at] ?? "a"),
    );
    for (const target of targets) await target.start();
    await fixture.addGateway("g1", {
      regions: new Map([["a", "north"], ["b", "south"], ["c", "east"]]),
    });
    await waitUntil(() =>
      fixture.lines.filter(({ name }) => name === "TargetChanged").length >=
        count
    );
  }

  function send(id: string, body: string): Promise<number> {
    return fixture.sendRequest(fixture.ports[0] ?? 0, {
      path: `/once/${body}`,
      method: "POST",
      headers: { id },
      body,
    }).then(({ status }) => status);
  }

  /** Sends orders of other callers until the test ends. */
  async function sendOthers(): Promise<number[]> {
    const statuses: number[] = [];
    for (let sent = 0; !isEnding; sent += 1) {
      statuses.push(await send(`other-${sent}`, `order-${sent}`));
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return statuses;
  }

  async function sendCrashing(times: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let sent = 0; sent < times; sent += 1) {
      statuses.push(await send(`crashing-${sent}`, BODY));
      await new Promise((resolve) => setTimeout(resolve, RESTART_MS * 3));
    }
    return statuses;
  }

  function countCrashes(): number {
    return targets.reduce((sum, { crashes }) => sum + crashes, 0);
  }

  it("is sent elsewhere, and then nowhere", async () => {
    await startTargets(3);
    const others = sendOthers();
    const statuses = await sendCrashing(8);
    isEnding = true;
    const crashes = countCrashes();
    expect(crashes).to.be.at.most(3);
    expect(targets[0]?.crashes).to.be.at.most(2);
    expect(statuses).to.deep.equal(
      statuses.map((_, sent) => sent < crashes ? 502 : 503),
    );
    const served = (await others).filter((status) => status === 200).length;
    expect(served / (await others).length).to.be.at.least(0.98);
  }).timeout(20_000);

  it("is kept from the only target, which lives without it, and blocked then", async () => {
    await startTargets(1);
    expect(await sendCrashing(3)).to.deep.equal([502, 502, 503]);
    await new Promise((resolve) => setTimeout(resolve, TRIAL_MS));
    expect(await sendCrashing(3)).to.deep.equal([502, 503, 503]);
    expect(countCrashes()).to.equal(3);
    const blocked = fixture.lines.filter(({ name }) =>
      name === "RequestBlocked"
    );
    expect(blocked.map(({ change }) => change))
      .to.deep.equal(["avoiding", "blocked"]);
  }).timeout(30_000);
});

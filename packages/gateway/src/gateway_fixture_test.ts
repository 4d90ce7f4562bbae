import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Agent, request as startRequest } from "node:http";
import type { AddressInfo, Server } from "node:net";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { SocketOpener } from "@camphorlock/http/exchange";
import { FakeStore } from "./fake_store_test.ts";
import { Gateway } from "./gateway.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { GatewayLog } from "./log.ts";
import type { RoutingConfiguration } from "./model/routing.ts";
import type { Target } from "./model/target.ts";
import {
  FIXTURE_REQUEST_CODEC,
  FIXTURE_STORE_CODEC,
  IDENTITY_PATH,
} from "./codec_fixture_test.ts";
import type { GatewaySettings } from "./ports.ts";
import { DiskVm } from "./turns/disk_vm.ts";

export const WAIT_TIMEOUT_MS = 5_000;

/** Builds a configuration with one route of each kind. */
export function buildConfiguration(version: number): RoutingConfiguration {
  const route = {
    host: "a.example",
    timeoutMs: 600,
    targetLatencyMs: 100,
    priority: 0,
    isPublic: false,
    maxTargets: 1,
    isResumable: false,
    retentionMs: undefined,
    services: [{ service: "s", weight: 1 }],
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "safe",
        pathPrefix: "/safe/",
        kind: "idempotent",
        maxTargets: 3,
      },
      { ...route, name: "once", pathPrefix: "/once/", kind: "non_idempotent" },
      {
        ...route,
        name: "stream",
        pathPrefix: "/stream/",
        kind: "streaming",
        isResumable: true,
      },
      {
        ...route,
        name: "kept",
        pathPrefix: "/kept/",
        kind: "streaming",
        retentionMs: 60_000,
      },
    ],
    services: new Map([
      ["s", {
        name: "s",
        maxConnections: 100,
        tokensPerEvent: 10,
        memoryTokens: undefined,
      }],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 2_000,
    },
    tenants: undefined,
  };
}

type HandleRequest = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A target whose behaviour the test sets. */
export class FakeTarget {
  readonly id: string;
  handle: HandleRequest = sendCompleteResponse;
  readonly receivedPaths: string[] = [];
  readonly version: string;
  /** What it says of its start; its entry names 1. */
  identity = "started 1";
  #server: Server;
  #port = 0;

  constructor(id: string, version = "v1") {
    this.id = id;
    this.version = version;
    this.#server = this.#createServer();
  }

  #createServer(): Server {
    return createServer((request, response) => {
      if (request.url === IDENTITY_PATH) {
        response.end(this.identity);
        return;
      }
      this.receivedPaths.push(request.url ?? "");
      response.setHeader("id", request.headers["id"] ?? "");
      this.handle(request, response);
    });
  }

  /** Starts again at its address, after `stop`. */
  async restart(): Promise<void> {
    const server = this.#createServer();
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(this.#port, "127.0.0.1", () => resolve())
    );
  }

  async start(): Promise<Target> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => resolve())
    );
    this.#port = (this.#server.address() as AddressInfo).port;
    return {
      id: this.id,
      service: "s",
      host: "127.0.0.1",
      port: this.#port,
      failureDomain: "a",
      state: "ready",
      version: this.version,
      slots: 4,
      startedAtMs: 1,
    };
  }

  stop(): void {
    (this.#server as unknown as { closeAllConnections(): void })
      .closeAllConnections();
    this.#server.close();
  }
}

/** Sends a signed, complete response. */
export function sendCompleteResponse(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(200, { signed: "1" });
  response.end("whole");
}

/** Gateways and targets on loopback, with a store in memory. */
export class GatewayFixture {
  readonly store = new FakeStore();
  readonly lines: Record<string, unknown>[] = [];
  readonly gateways: Gateway[] = [];
  readonly ports: number[] = [];
  readonly readinessPorts: number[] = [];
  readonly peerAddresses: { host: string; port: number }[] = [];
  readonly #targets: FakeTarget[] = [];
  readonly #keepers: DiskVm[] = [];
  readonly #agent = new Agent({ keepAlive: true });
  #waitsUntilReady = true;

  async addTarget(id: string, version?: string): Promise<FakeTarget> {
    const target = new FakeTarget(id, version);
    this.#targets.push(target);
    this.store.put("targets", id, await target.start());
    return target;
  }

  /** Starts the process that keeps facts on a VM with a disk. */
  async addKeeper(
    vmId: string,
    place: { readonly folder?: string; readonly port?: number } = {},
  ): Promise<DiskVm> {
    const port = place.port ?? await findFreePort();
    const keeper = new DiskVm({
      vmId,
      store: this.store,
      log: new GatewayLog({ write: (_text, end) => end() }, vmId),
      retirements: { decodeState: () => "requested", encodeState: () => ({}) },
      disk: {
        folder: place.folder ?? await mkdtemp(join(tmpdir(), "keeper-")),
        place: {
          vmId,
          host: "127.0.0.1",
          port,
          failureDomain: vmId,
          region: "north",
        },
        tolerance: { disks: 1, failureDomains: 0, regions: 0 },
        isFirstStart: true,
        maxDiskBytes: 1e6,
        maxTableBytes: 1e6,
      },
    });
    void keeper.run();
    this.#keepers.push(keeper);
    await waitUntil(() => this.store.get("turnDisks", vmId) !== undefined);
    return keeper;
  }

  async addGateway(
    vmId: string,
    { openSocket, ...change }: Partial<GatewaySettings> & {
      readonly openSocket?: SocketOpener;
    } = {},
  ): Promise<Gateway> {
    const [callers, readiness, peers] = await Promise.all([
      findFreePort(),
      findFreePort(),
      findFreePort(),
    ]);
    const host = "127.0.0.1";
    const settings: GatewaySettings = {
      vmId,
      failureDomain: "a",
      region: "north",
      regions: new Map([["a", "north"]]),
      callers: { host, port: callers },
      readiness: { host, port: readiness },
      peers: { host, port: peers },
      seeds: [],
      metrics: undefined,
      tolerance: { disks: 1, failureDomains: 0, regions: 0 },
      memoryBytes: 200_000_000,
      maxDescriptors: 4_000,
      quota: undefined,
      placement: "fixed",
      bounds: {
        configurationMs: 2_500,
        drainMs: 2_500,
        graceMs: 4_000,
        revocationMs: undefined,
      },
      ...change,
    };
    const gateway = new Gateway({
      settings,
      ...openSocket === undefined ? {} : { openSocket },
      store: this.store,
      requestCodec: FIXTURE_REQUEST_CODEC,
      storeCodec: FIXTURE_STORE_CODEC,
      metrics: new GatewayMetrics(),
      log: new GatewayLog({
        write: (text, handleWritten) => {
          for (const line of text.trim().split("\n")) {
            this.lines.push(JSON.parse(line));
          }
          handleWritten();
        },
      }, vmId),
    });
    await gateway.start();
    this.gateways.push(gateway);
    this.ports.push(callers);
    this.readinessPorts.push(readiness);
    this.peerAddresses.push({ host, port: peers });
    if (this.#waitsUntilReady) {
      await waitUntil(async () =>
        (await this.sendRequest(readiness, {})).status === 200
      );
    }
    return gateway;
  }

  /** Waits until every gateway has a shard table, to get first allowances. */
  async waitForShards(): Promise<void> {
    await waitUntil(() => {
      const vmIds = new Set(
        this.lines.filter(({ name }) => name === "ShardsChanged")
          .map(({ vm }) => vm),
      );
      return vmIds.size === this.gateways.length;
    });
  }

  /** Starts a gateway and calls `act` once it listens, before it's ready. */
  async startUnready<T>(
    change: Partial<GatewaySettings>,
    act: (port: number) => Promise<T>,
  ): Promise<{ readonly answer: T }> {
    this.#waitsUntilReady = false;
    await this.addGateway("g1", change);
    return { answer: await act(this.ports[0] ?? 0) };
  }

  /** Listens as a peer that never responds. */
  async addUnresponsivePeer(): Promise<{ host: string; port: number }> {
    const unresponsive = new FakeTarget("silent");
    unresponsive.handle = () => {};
    this.#targets.push(unresponsive);
    const { host, port } = await unresponsive.start();
    return { host, port };
  }

  /** Sends one request and reads its response. */
  sendRequest(
    port: number,
    request: {
      path?: string;
      method?: string;
      headers?: Record<string, string>;
      body?: string;
      disconnectAfterMs?: number;
    },
  ): Promise<
    {
      status: number;
      text: string;
      headers: IncomingMessage["headers"];
      isComplete: boolean;
    }
  > {
    return new Promise((resolve, reject) => {
      const sent = startRequest({
        host: "127.0.0.1",
        port,
        path: request.path ?? "/",
        method: request.method ?? "GET",
        headers: { host: "a.example", id: "r1", ...request.headers },
        agent: this.#agent,
      }, (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => {});
        response.on("close", () =>
          resolve({
            status: response.statusCode ?? 0,
            text,
            headers: response.headers,
            isComplete: response.complete,
          }));
      });
      sent.on("error", reject);
      if (request.disconnectAfterMs !== undefined) {
        setTimeout(() => sent.destroy(), request.disconnectAfterMs);
      }
      sent.end(request.body);
    });
  }

  async stop(): Promise<void> {
    this.#agent.destroy();
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    for (const target of this.#targets) target.stop();
    for (const keeper of this.#keepers) keeper.close();
  }
}

/** Waits until a condition holds; rejects when it doesn't hold in time. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (performance.now() < deadlineMs) {
    if (await check()) return;
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  throw new Error("the condition didn't hold in time");
}

/** Finds a port that nothing listens at. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { openDirectly } from "@camphorlock/http/exchange";
import { expect } from "chai";
import { ByteBudget } from "../decisions/byte_budget.ts";
import { PathMonitor } from "../decisions/path_monitor.ts";
import type { PeerInfo } from "../decisions/peer_directory.ts";
import { RelayChoice } from "../decisions/relay_choice.ts";
import { TargetTable } from "../decisions/target_table.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import type { Target } from "../model/target.ts";
import { readFrames } from "@camphorlock/channel";
import { isPathCall, type PathAnswer } from "./path_messages.ts";
import { PathRelay } from "./path_relay.ts";
import { RelayClient, type RelayResult } from "./relay_client.ts";
import { TargetPaths } from "./target_paths.ts";

const BUDGET_BYTES = 10 * 32_768;

describe("a gateway that relays connections to targets", () => {
  let budget: ByteBudget;
  let monitor: PathMonitor;
  let targets: TargetTable;
  let relay: PathRelay;
  let client: RelayClient;
  let target: Target;
  let targetServer: Server;
  let relayServer: Server;
  let targetSockets: Socket[];
  let relaySockets: Socket[];
  let isStopping: boolean;
  let isReady: boolean;

  beforeEach(async () => {
    isStopping = false;
    isReady = true;
    targetSockets = [];
    relaySockets = [];
    targetServer = createServer((socket) => {
      socket.on("error", () => {});
      targetSockets.push(socket);
    });
    target = {
      id: "t1",
      service: "s",
      host: "127.0.0.1",
      port: await listen(targetServer),
      failureDomain: "a",
      state: "ready",
      version: "v1",
      slots: 4,
      startedAtMs: 1,
    };
    budget = new ByteBudget(BUDGET_BYTES);
    monitor = new PathMonitor();
    targets = new TargetTable();
    targets.set(target);
    const metrics = new GatewayMetrics();
    const log = new GatewayLog({ write: (_text, end) => end() }, "g2");
    const choice = new RelayChoice({ vmId: "g2", region: "north" });
    relay = new PathRelay({
      bytes: budget,
      monitor,
      choice,
      targets,
      paths: new TargetPaths({
        monitor,
        targets,
        log,
        metrics,
        openSocket: openDirectly,
        relays: {
          open: () => Promise.resolve({ kind: "no_relay", others: 0 }),
          reportLeaving: () => {},
        },
        onCutOff: () => {},
      }),
      log,
      metrics,
      isStopping: () => isStopping,
      isReady: () => isReady,
    });
    relayServer = createServer((socket) => {
      relaySockets.push(socket);
      const stopReading = readFrames(socket, ({ id, body }) => {
        const { message } = body as { message: unknown };
        if (!isPathCall(message)) return;
        stopReading();
        void relay.serve(socket, message, (path: PathAnswer) => {
          socket.write(`${JSON.stringify({ id, body: { path } })}\n`);
        });
      });
    });
    const peer: PeerInfo = {
      vmId: "g2",
      host: "127.0.0.1",
      port: await listen(relayServer),
      region: "north",
      bootId: "1",
      isLeaving: false,
    };
    client = new RelayClient({
      choice: new RelayChoice({ vmId: "g1", region: "north" }),
      metrics,
      getPeers: () => [peer],
      findLive: () => peer,
      notifyPeer: () => {},
      getSelf: () => ({ ...peer, vmId: "g1" }),
    });
  });

  afterEach(() => {
    for (const socket of [...targetSockets, ...relaySockets]) socket.destroy();
    targetServer.close();
    relayServer.close();
  });

  async function open(): Promise<Extract<RelayResult, { kind: "open" }>> {
    const result = await client.open(target);
    if (result.kind !== "open") throw new Error(result.kind);
    return result;
  }

  /** Reads until the end; true if the target marked it as orderly. */
  async function readAll(): Promise<{ text: string; isOrderly: boolean }> {
    const { opened } = await open();
    let text = "";
    opened.socket.on("data", (bytes) => text += bytes);
    opened.socket.write("hello");
    const ended = new Promise((resolve) => {
      opened.socket.on("close", resolve);
      opened.socket.on("error", () => {});
    });
    await waitFor(() => targetSockets.length > 0);
    return await new Promise((resolve) => {
      void ended.then(() =>
        resolve({ text, isOrderly: opened.hasPeerEnded() })
      );
      const [socket] = targetSockets;
      socket?.once("data", (bytes) => {
        socket.write(`${bytes} and ${"x".repeat(100_000)}`);
        setTimeout(() => endTarget(socket), 50);
      });
    });
  }

  let endTarget: (socket: Socket) => void;

  it("passes on everything, and an orderly end", async () => {
    endTarget = (socket) => socket.end();
    const { text, isOrderly } = await readAll();
    expect(text).to.have.length(100_000 + "hello and ".length);
    expect(isOrderly).to.equal(true);
  });

  // The kernel ends a killed process's connections in an orderly way, which
  // completes a response whose end isn't marked.
  it("marks no end that isn't the target's own", async () => {
    endTarget = () => relaySockets[0]?.end();
    expect((await readAll()).isOrderly).to.equal(false);
  });

  it("marks no end when the target resets the connection", async () => {
    endTarget = (socket) => socket.resetAndDestroy();
    expect((await readAll()).isOrderly).to.equal(false);
  });

  // Relayed connections must not take the memory of the callers' requests.
  it("holds no more bytes than the process has", async () => {
    const all: RelayResult[] = [];
    for (let at = 0; at < 20; at += 1) all.push(await client.open(target));
    const open = all.filter(({ kind }) => kind === "open").length;
    expect(open).to.be.within(1, BUDGET_BYTES / 32_768);
    expect(budget.usedBytes).to.be.most(BUDGET_BYTES);
    for (const result of all) {
      if (result.kind === "open") result.opened.socket.destroy();
    }
    await waitFor(() => relay.openConnections === 0);
    expect(budget.usedBytes).to.equal(0);
  });

  it("refuses while it's cut off itself, stops, or doesn't keep up", async () => {
    for (const address of ["a:1", "b:1", "c:1"]) {
      monitor.recordUnreached(address, performance.now(), 3);
    }
    expect((await client.open(target)).kind).to.equal("no_relay");
    monitor.recordConnected("a:1", performance.now());
    await new Promise((resolve) => setTimeout(resolve, 1_100));
    isStopping = true;
    expect((await client.open(target)).kind).to.equal("no_relay");
    isStopping = false;
    await new Promise((resolve) => setTimeout(resolve, 1_100));
    isReady = false;
    expect((await client.open(target)).kind).to.equal("no_relay");
  });

  it("connects to registered targets only, of the named start", async () => {
    const kinds = [
      await client.open({ ...target, id: "t2" }),
      await client.open({ ...target, startedAtMs: 2 }),
    ].map(({ kind }) => kind);
    expect(kinds).to.deep.equal(["target_unusable", "target_unusable"]);
  });

  it("says when a target's VM refuses connections", async () => {
    targetServer.close();
    await waitFor(() => !targetServer.listening);
    expect((await client.open(target)).kind).to.equal("target_refuses");
  });
});

async function listen(server: Server): Promise<number> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return (server.address() as AddressInfo).port;
}

async function waitFor(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5));
}

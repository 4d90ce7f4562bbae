import {
  Client as GenericClient,
  credentials,
  logVerbosity,
  setLogVerbosity,
} from "@grpc/grpc-js";
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { pack } from "msgpackr";
import type { PeerMessage, VmId } from "@camphorlock/types";
import { FakeTimers, SilentProxy, waitUntil } from "./fakes.ts";
import { type Frame, PeersClient, PeersService } from "./generated/peers.ts";
import { PeerNetwork, type PeerNetworkOptions } from "./peer_network.ts";
import type { PeerSettings } from "./settings.ts";
import type { PeerSecurity } from "./tls.ts";

const MESSAGE: PeerMessage = { kind: "probe_request", vmId: "vm-9", number: 1 };

interface Received {
  readonly from: VmId;
  readonly message: PeerMessage;
}

interface RawStream {
  readonly write: (frame: Partial<Frame>) => void;
  /** The error that ended the stream; empty while there's none. */
  readonly ended: () => string;
  readonly hasEnded: () => boolean;
}

interface TestNode {
  readonly network: PeerNetwork;
  readonly address: string;
  readonly received: Received[];
  readonly events: number[];
}

function encode(value: unknown): Buffer {
  return Buffer.from(pack(value));
}

function buildSecurity(name: "fleet" | "stranger"): PeerSecurity {
  const getPath = (file: string): string =>
    join(import.meta.dirname, "testdata", file);
  return {
    kind: "tls",
    authority: { kind: "path", path: getPath("fleet-ca.pem") },
    certificate: { kind: "path", path: getPath(`${name}.pem`) },
    key: { kind: "path", path: getPath(`${name}.key`) },
    serverName: "camphorlock-node",
  };
}

describe("peer network", () => {
  let timers: FakeTimers;
  let nodes: TestNode[] = [];
  let closers: (() => void)[] = [];

  async function startNode(
    vmId: VmId,
    options: {
      security?: PeerSecurity;
      settings?: Partial<PeerSettings>;
      incarnation?: number;
      listenAddress?: string;
    } & Pick<PeerNetworkOptions, "onDrained"> = {},
  ): Promise<TestNode> {
    const received: Received[] = [];
    const events: number[] = [];
    const { security, settings, incarnation, listenAddress, ...rest } = options;
    const network = new PeerNetwork({
      self: { vmId, incarnation: incarnation ?? 1 },
      listenAddress: listenAddress ?? "127.0.0.1:0",
      security: security ?? { kind: "plain" },
      onMessage: (from, message) => received.push({ from, message }),
      log: (record) => events.push(record.event),
      timers,
      ...(settings === undefined ? {} : { settings }),
      ...rest,
    });
    const address = (await network.start())._unsafeUnwrap();
    const node = { network, address, received, events };
    nodes.push(node);
    return node;
  }

  function openRawStream(
    address: string,
  ): RawStream {
    const client: PeersClient & GenericClient = new PeersClient(
      address,
      credentials.createInsecure(),
    );
    const call = client.exchange();
    let end = "";
    let hasEnded = false;
    call.on("data", () => {});
    call.on("end", () => {
      hasEnded = true;
    });
    call.on("error", (error: Error) => {
      end = error.message;
    });
    closers.push(() => client.close());
    return {
      write: (frame) =>
        call.write({
          version: 1,
          sender: "vm-raw",
          incarnation: 1,
          number: 0,
          acknowledged: 0,
          messages: [],
          opening: undefined,
          ...frame,
        }),
      ended: () => end,
      hasEnded: () => hasEnded,
    };
  }

  before(() => setLogVerbosity(logVerbosity.NONE));

  beforeEach(() => {
    timers = new FakeTimers();
    nodes = [];
    closers = [];
  });

  afterEach(async () => {
    for (const close of closers) close();
    for (const { network } of nodes) await network.stop();
  });

  it("delivers messages both ways over one stream, in order", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    for (let number = 1; number <= 50; number += 1) {
      a.network.send("vm-b", b.address, { ...MESSAGE, number });
    }
    await waitUntil(() => b.received.length === 50);
    const numbers = b.received.map(({ message }) =>
      message.kind === "probe_request" ? message.number : 0
    );
    expect(numbers).to.deep.equal([...numbers].sort((l, r) => l - r));
    expect(b.received[0]?.from).to.equal("vm-a");
    b.network.send("vm-a", a.address, MESSAGE);
    await waitUntil(() => a.received.length === 1);
    expect(a.network.counts.openedStreams).to.equal(1);
    expect(b.network.counts.openedStreams).to.equal(1);
  });

  it("transmits bytes and nested values unchanged", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    const message: PeerMessage = {
      kind: "configuration_offer",
      revision: 2 ** 40,
      value: new Uint8Array([0, 1, 255]),
    };
    a.network.send("vm-b", b.address, message);
    await waitUntil(() => b.received.length === 1);
    const received = b.received[0]?.message;
    if (received?.kind !== "configuration_offer") throw new Error("wrong kind");
    expect(received.revision).to.equal(2 ** 40);
    expect([...received.value]).to.deep.equal([0, 1, 255]);
  });

  it("replaces a connection that stops responding", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    const proxy = new SilentProxy(Number(b.address.split(":")[1]));
    const address = await proxy.start();
    closers.push(() => proxy.stop());
    a.network.send("vm-b", address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    proxy.stopForwarding();
    a.network.send("vm-b", address, { ...MESSAGE, number: 2 });
    await waitUntil(() => a.network.counts.sentMessages === 2);
    timers.runFor(3_000);
    expect(a.network.counts.silentStreams).to.equal(1);
    a.network.send("vm-b", address, { ...MESSAGE, number: 3 });
    await waitUntil(() => b.received.length === 2);
    expect(b.received[1]?.message).to.include({ number: 3 });
    expect(proxy.connections).to.equal(2);
  });

  it("detects a silent connection on the accepting side too", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    const proxy = new SilentProxy(Number(b.address.split(":")[1]));
    const address = await proxy.start();
    closers.push(() => proxy.stop());
    a.network.send("vm-b", address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    proxy.stopForwarding();
    b.network.send("vm-a", a.address, MESSAGE);
    await waitUntil(() => b.network.counts.sentMessages === 1);
    timers.runFor(3_000);
    expect(b.network.counts.silentStreams).to.equal(1);
    b.network.send("vm-a", a.address, { ...MESSAGE, number: 4 });
    await waitUntil(() => a.received.length === 1);
  });

  it("keeps an idle connection open with heartbeats", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    for (let step = 0; step < 300; step += 1) {
      timers.runFor(200);
      await new Promise((resolve) => setImmediate(resolve));
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    expect(a.network.counts.silentStreams).to.equal(0);
    expect(b.network.counts.silentStreams).to.equal(0);
    expect(b.network.counts.openedStreams).to.equal(1);
  });

  it("doesn't count a pause of its own process as silence", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    timers.runFor(20_000, 20_000);
    expect(a.network.counts.silentStreams).to.equal(0);
  });

  it("delivers a queued message to a node that starts later", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    await b.network.stop();
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => a.events.includes(112));
    const later = await startNode("vm-b", {
      incarnation: 2,
      listenAddress: b.address,
    });
    timers.runFor(300);
    await waitUntil(() => later.received.length === 1);
  });

  it("drops messages that wait too long for a stopped node", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    await b.network.stop();
    a.network.send("vm-b", b.address, MESSAGE);
    timers.runFor(6_000);
    expect(a.network.counts.droppedMessages).to.equal(1);
  });

  it("drops a malformed message and keeps the others", async () => {
    const a = await startNode("vm-a");
    const opening = {
      receiver: "vm-a",
      lowestVersion: 1,
      highestVersion: 1,
    };
    const entry = {
      shard: 1,
      epoch: 1,
      sequence: 1,
      body: { kind: "call_ended" },
    };
    const keep = { shard: 1, epoch: 1, storedThrough: 0, token: 1 };
    const bad = [
      Buffer.from([0xc1, 0xff]),
      Buffer.from(pack(7)),
      Buffer.from(pack({ kind: "heartbeat", spec: null })),
      Buffer.from(pack({ kind: "handover_offer", shards: [-1] })),
      Buffer.from(pack({ kind: "keep_entries", ...keep, entries: [entry] })),
      Buffer.from(
        pack({
          kind: "owner_request",
          requestId: "r",
          shard: 1,
          request: { kind: "run_call", programId: "p", key: 5 },
        }),
      ),
    ];
    const raw = openRawStream(a.address);
    raw.write({ opening, number: 1 });
    raw.write({ number: 2, messages: [...bad, Buffer.from(pack(MESSAGE))] });
    await waitUntil(() => a.received.length === 1);
    expect(a.network.counts.malformedMessages).to.equal(bad.length);
    expect(raw.ended()).to.equal("");
  });

  it("drops a message with a variant of a later release", async () => {
    const a = await startNode("vm-a");
    const raw = openRawStream(a.address);
    const opening = { receiver: "vm-a", lowestVersion: 1, highestVersion: 1 };
    const request = { kind: "of_a_later_release" };
    const later = { kind: "owner_request", requestId: "r", shard: 1, request };
    raw.write({ opening, number: 1 });
    raw.write({ number: 2, messages: [later, MESSAGE].map(encode) });
    await waitUntil(() => a.received.length === 1);
    expect(a.network.counts.unknownMessages).to.equal(1);
    expect(a.network.counts.malformedMessages).to.equal(0);
  });

  it("refuses bytes that can't be decoded as a frame", async () => {
    const a = await startNode("vm-a");
    const client = new GenericClient(a.address, credentials.createInsecure());
    closers.push(() => client.close());
    const call = client.makeBidiStreamRequest(
      PeersService.exchange.path,
      (bytes: Buffer) => bytes,
      (bytes: Buffer) => bytes,
    );
    let isRefused = false;
    call.on("data", () => {});
    call.on("error", () => {
      isRefused = true;
    });
    call.write(Buffer.from([0xff, 0xff, 0xff, 0xff, 0xff]));
    await waitUntil(() => isRefused);
    const b = await startNode("vm-b");
    b.network.send("vm-a", a.address, MESSAGE);
    await waitUntil(() => a.received.length === 1);
  });

  it("refuses a changed sender, and replaces a peer's old stream", async () => {
    const a = await startNode("vm-a");
    const opening = { receiver: "vm-a", lowestVersion: 1, highestVersion: 1 };
    const first = openRawStream(a.address);
    first.write({ opening, number: 1 });
    await waitUntil(() => a.network.counts.openedStreams === 1);
    const second = openRawStream(a.address);
    second.write({ opening, number: 1, incarnation: 2 });
    await waitUntil(() => first.hasEnded());
    second.write({
      number: 2,
      sender: "vm-other",
      messages: [encode(MESSAGE)],
    });
    await waitUntil(() => second.ended() !== "");
    expect(second.ended()).to.contain("PeerFrameInvalid");
    expect(a.received).to.have.length(0);
  });

  it("refuses out-of-order frames and streams without an opening", async () => {
    const a = await startNode("vm-a");
    const raw = openRawStream(a.address);
    raw.write({ number: 1, messages: [Buffer.from(pack(MESSAGE))] });
    await waitUntil(() => raw.ended() !== "");
    const opening = { receiver: "vm-a", lowestVersion: 1, highestVersion: 1 };
    const other = openRawStream(a.address);
    other.write({ number: 1, opening });
    other.write({ number: 3, messages: [Buffer.from(pack(MESSAGE))] });
    await waitUntil(() => other.ended() !== "");
    expect(a.received).to.have.length(0);
  });

  it("drops and counts an unknown kind, and delivers the rest", async () => {
    const a = await startNode("vm-a");
    const raw = openRawStream(a.address);
    const opening = { receiver: "vm-a", lowestVersion: 1, highestVersion: 3 };
    raw.write({ number: 1, opening });
    const unknown = Buffer.from(pack({ kind: "of_a_later_release" }));
    const extended = Buffer.from(pack({ ...MESSAGE, laterField: true }));
    raw.write({ number: 2, messages: [unknown, extended] });
    await waitUntil(() => a.received.length === 1);
    expect(a.network.counts.unknownMessages).to.equal(1);
    expect(raw.ended()).to.equal("");
  });

  it("negotiates the highest version that two releases share", async () => {
    const a = await startNode("vm-a", { settings: { highestVersion: 3 } });
    const b = await startNode("vm-b", { settings: { highestVersion: 2 } });
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    const range = { lowestVersion: 4, highestVersion: 5 };
    const c = await startNode("vm-c", { settings: range });
    c.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.network.counts.refusedStreams === 1);
    expect(b.received).to.have.length(1);
  });

  it("refuses a stream intended for another node", async () => {
    const a = await startNode("vm-a");
    const b = await startNode("vm-b");
    a.network.send("vm-c", b.address, MESSAGE);
    await waitUntil(() => b.network.counts.refusedStreams === 1);
    expect(b.received).to.have.length(0);
  });

  it("accepts only nodes of its certificate authority under TLS", async () => {
    const a = await startNode("vm-a", { security: buildSecurity("fleet") });
    const b = await startNode("vm-b", { security: buildSecurity("fleet") });
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    const c = await startNode("vm-c", { security: buildSecurity("stranger") });
    c.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => c.events.includes(112));
    const plain = await startNode("vm-d");
    plain.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => plain.events.includes(112));
    expect(b.received).to.have.length(1);
  });

  it("accepts nodes of two authorities during a rotation", async () => {
    const text = ["fleet-ca.pem", "stranger-ca.pem"].map((file) =>
      readFileSync(join(import.meta.dirname, "testdata", file), "utf8")
    ).join("\n");
    const authority = { kind: "pem", text } as const;
    const build = (name: "fleet" | "stranger"): PeerSecurity => {
      const security = buildSecurity(name);
      return security.kind === "tls" ? { ...security, authority } : security;
    };
    const a = await startNode("vm-a", { security: build("fleet") });
    const b = await startNode("vm-b", { security: build("stranger") });
    a.network.send("vm-b", b.address, MESSAGE);
    await waitUntil(() => b.received.length === 1);
    const c = await startNode("vm-c", { security: build("stranger") });
    c.network.send("vm-a", a.address, MESSAGE);
    await waitUntil(() => a.received.length === 1);
  });

  it("fails to start with bad certificates or an address in use", async () => {
    const pem = { kind: "pem", text: "" } as const;
    const missing = { kind: "path", path: "/nonexistent.pem" } as const;
    const security: PeerSecurity = {
      kind: "tls",
      authority: missing,
      certificate: pem,
      key: pem,
      serverName: "x",
    };
    const options = {
      self: { vmId: "vm-x", incarnation: 1 },
      onMessage: () => {},
      timers,
    };
    const first = await new PeerNetwork({
      ...options,
      security,
      listenAddress: "127.0.0.1:0",
    }).start();
    expect(first._unsafeUnwrapErr().name).to.equal("PeerTlsInvalid");
    const a = await startNode("vm-a");
    const second = await new PeerNetwork({
      ...options,
      security: { kind: "plain" },
      listenAddress: a.address,
    }).start();
    expect(second._unsafeUnwrapErr().name).to.equal("PeerListenFailed");
  });
});

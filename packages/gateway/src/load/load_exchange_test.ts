import { expect } from "chai";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { TargetTable } from "../decisions/target_table.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { PROTOCOL_VERSION } from "../peers/protocol_version.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import { WorkModel } from "../placement/work_model.ts";
import { LoadExchange } from "./load_exchange.ts";
import type { LoadReport } from "./load_messages.ts";
import { LoadReporter } from "./load_reporter.ts";
import { LoadView, MAX_VIEW_AGE_MS } from "./load_view.ts";

const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");
const LATENCY_MS = 8;
const SETTLE_TURNS = 12;

interface Member {
  readonly info: PeerInfo;
  readonly directory: PeerDirectory;
  readonly exchange: LoadExchange;
  readonly view: LoadView;
  readonly reporter: LoadReporter;
  readonly table: TargetTable;
  isAlive: boolean;
}

/** Gateways of two regions with one target. */
class Installation {
  readonly members = new Map<string, Member>();
  bytes = 0;
  /** Whether messages between the regions get lost. */
  isCut = false;
  readonly #time: VirtualTime;

  constructor(time: VirtualTime, gateways: number) {
    this.#time = time;
    const infos = Array.from(
      { length: gateways },
      (_, index) =>
        buildPeer(`g${index}`, {
          region: `r${index % 2}`,
          protocol: PROTOCOL_VERSION,
        }),
    );
    for (const info of infos) this.#addMember(info);
    for (const { directory } of this.members.values()) {
      for (const info of infos) directory.add(info);
    }
  }

  list(region: string): Member[] {
    return [...this.members.values()].filter(({ info, isAlive }) =>
      info.region === region && isAlive
    );
  }

  /** Starts a request at the target that doesn't end. */
  startRequest({ table, reporter }: Member, requestId: string): void {
    const entry = table.find("t0");
    if (entry === undefined) throw new Error("no target");
    entry.recordAttempt(requestId, this.#time.nowMs, {
      work: {
        firstMs: 10,
        runMs: 1_000,
        lateMs: 1_000,
        uncachedTokens: 0,
        waitMs: 0,
        ownTokens: 1_500,
        shared: [{ id: "p", tokens: 12_600 }],
      },
    });
    reporter.recordStart(entry, this.#time.nowMs);
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.#time.nowMs + durationMs;
    for (let atMs = this.#time.nowMs; atMs < endMs; atMs += 200) {
      setTimeout(() => {
        for (const { exchange, isAlive } of this.members.values()) {
          if (isAlive) exchange.runDue(this.#time.nowMs);
        }
      }, atMs - this.#time.nowMs);
    }
    for (;;) {
      for (let turn = 0; turn < SETTLE_TURNS; turn += 1) {
        await Promise.resolve();
      }
      const step = this.#time.nextStep;
      if (step === undefined || this.#time.nextAtMs > endMs) break;
      step.run();
    }
    this.#time.advance(endMs - this.#time.nowMs);
  }

  #addMember(info: PeerInfo): void {
    const directory = new PeerDirectory(info);
    const table = new TargetTable();
    table.set({
      id: "t0",
      service: "s",
      host: "127.0.0.1",
      port: 1,
      failureDomain: "d0",
      state: "ready",
      version: undefined,
      slots: 8,
      startedAtMs: 1,
    });
    const view = new LoadView((id) => table.find(id)?.target);
    const reporter = new LoadReporter(new WorkModel());
    const exchange = new LoadExchange({
      directory,
      links: {
        callAddress: (peer, message) =>
          this.#call(info, peer as PeerInfo, message as LoadReport),
      },
      log: LOG,
      metrics: new GatewayMetrics(),
      vmId: info.vmId,
      region: info.region,
      reporter,
      view,
      listUsed: () => ["t0"],
      findMemory: () => 100_000,
    });
    this.members.set(info.vmId, {
      info,
      directory,
      exchange,
      view,
      reporter,
      table,
      isAlive: true,
    });
  }

  async #call(
    from: PeerInfo,
    peer: PeerInfo,
    message: LoadReport,
  ) {
    this.bytes += JSON.stringify(message).length;
    await waitFor(LATENCY_MS);
    const member = this.members.get(peer.vmId);
    const isLost = this.isCut && peer.region !== from.region;
    if (member?.isAlive !== true || isLost) {
      await waitFor(140);
      return undefined;
    }
    const load = member.exchange.answer(message, from);
    this.bytes += JSON.stringify(load ?? {}).length;
    await waitFor(LATENCY_MS);
    return load === undefined ? { from: peer } : { from: peer, load };
  }
}

function waitFor(durationMs: number): Promise<undefined> {
  return new Promise((resolve) =>
    setTimeout(() => resolve(undefined), durationMs)
  );
}

describe("the exchange of the targets' load", () => {
  let time: VirtualTime;
  let installation: Installation;

  beforeEach(() => {
    time = new VirtualTime();
    installation = new Installation(time, 8);
    let requests = 0;
    for (const member of installation.members.values()) {
      requests += 1;
      installation.startRequest(member, `q${requests}`);
    }
  });

  afterEach(() => time.restore());

  function listSeen(region: string): (number | undefined)[] {
    return installation.list(region).map(({ view }) =>
      view.find("t0", time.nowMs)?.running
    );
  }

  it("tells each gateway what all others run, in both regions", async () => {
    // Ages that two regions' collectors passed on to each other grew for good.
    await installation.run(6_000);
    expect(listSeen("r0")).to.deep.equal([7, 7, 7, 7]);
    expect(listSeen("r1")).to.deep.equal([7, 7, 7, 7]);
    const [first] = installation.list("r0");
    expect(first?.view.computeAgeMs(time.nowMs)).to.be.below(600);
    const load = first?.view.find("t0", time.nowMs);
    expect([...load?.heldParts ?? []]).to.deep.equal(["p"]);
  });

  // Views must not stay empty, or double, after the collector was lost.
  it("goes on at the next collector when one is lost", async () => {
    await installation.run(1_000);
    const [any] = installation.list("r0");
    const collector = any?.directory.chooseHomeIn("r0", "load").vmId ?? "";
    const lost = installation.members.get(collector);
    if (lost !== undefined) lost.isAlive = false;
    await installation.run(MAX_VIEW_AGE_MS + 1_200);
    expect(listSeen("r0")).to.deep.equal([6, 6, 6]);
    expect(listSeen("r1")).to.deep.equal([6, 6, 6, 6]);
  });

  // A cut-off region's requests end without anyone being told.
  it("drops a region that is cut off, and takes it up again", async () => {
    await installation.run(1_000);
    installation.isCut = true;
    await installation.run(1_600);
    expect(listSeen("r0")).to.deep.equal([3, 3, 3, 3]);
    installation.isCut = false;
    await installation.run(3_000);
    expect(listSeen("r0")).to.deep.equal([7, 7, 7, 7]);
  });

  // Reports that nobody needs would cost small VMs their processor time.
  it("sends nothing while there is nothing to tell", async () => {
    for (const { table } of installation.members.values()) {
      const entry = table.find("t0");
      for (let request = 1; request <= 8; request += 1) {
        if (entry?.held.find(`q${request}`) !== undefined) {
          entry.recordAttemptEnd(`q${request}`, time.nowMs);
        }
      }
    }
    await installation.run(4_000);
    const before = installation.bytes;
    await installation.run(4_000);
    expect(installation.bytes).to.equal(before);
  });
});

import { expect } from "chai";
import { PeerChannel } from "@camphorlock/channel";
import { PeerDirectory } from "../decisions/peer_directory.ts";
import { findFreePort } from "../gateway_fixture_test.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import { OldBuild } from "./old_build_fixture_test.ts";
import { PeerLinks } from "./peer_links.ts";
import type { PeerMessage } from "./peer_messages.ts";
import { PROTOCOL_VERSION } from "./protocol_version.ts";

const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");
const WAIT_MS = 2_000;
const HELLO: PeerMessage = {
  kind: "hello",
  known: 0,
  shardsRevision: 0,
  blockedRequests: 0,
};
const TAKE_CREDITS: PeerMessage = {
  kind: "take_credits",
  tenant: "a",
  quota: { ratePerS: 1, burst: 1 },
  configurationVersion: 1,
  credits: 1,
  isForwarded: false,
};

describe("a gateway beside an old build", () => {
  let old: OldBuild;
  let links: PeerLinks;
  let directory: PeerDirectory;
  const self = buildPeer("self", { protocol: PROTOCOL_VERSION });

  beforeEach(async () => {
    old = new OldBuild();
    await old.start();
    directory = new PeerDirectory(self);
    links = new PeerLinks({
      directory,
      log: LOG,
      metrics: new GatewayMetrics(),
      getSelf: () => self,
      handleMessage: () => Promise.resolve({ from: self }),
      relay: { serve: () => Promise.resolve(), recordLeaving: () => {} },
      onChange: () => {},
    });
  });

  afterEach(() => {
    links.close();
    old.stop();
  });

  it("sends it no new kind", async () => {
    // Guards against a closed connection, which ends the calls of turns there.
    directory.set(old.info);
    expect(await links.call(old.info, TAKE_CREDITS)).to.equal(undefined);
    expect(old.received).to.deep.equal([]);
    expect(directory.listSuspected()).to.deep.equal([]);
  });

  it("finds out first which build runs after a rollback", async () => {
    // Guards against a new kind on the word of the entry of a former process.
    const former = { ...old.info, bootId: "new", protocol: PROTOCOL_VERSION };
    directory.set(former);
    expect(await links.call(former, TAKE_CREDITS)).to.equal(undefined);
    expect(old.received).to.deep.equal(["hello"]);
    expect(old.closed).to.equal(0);
    expect(directory.listSuspected()).to.deep.equal([]);
    expect(directory.find("old")?.protocol).to.equal(undefined);
  });

  it("answers an unknown kind without closing the connection", async () => {
    // Guards against the loss of other calls on a later build's new kind.
    const address = { host: "127.0.0.1", port: await findFreePort() };
    await links.serve(address);
    const channel = new PeerChannel(address);
    const from = buildPeer("later", { protocol: PROTOCOL_VERSION + 1 });
    const [unknown, known] = await Promise.all([
      channel.call({ from, message: { kind: "later" } }, WAIT_MS),
      channel.call({ from, message: HELLO }, WAIT_MS),
    ]);
    expect(unknown).to.deep
      .equal({ from: self, error: "unknown message kind: later" });
    expect(known).to.deep.equal({ from: self });
    expect(channel.connectionId).to.equal(1);
    channel.close();
  });
});

import { expect } from "chai";
import { PeerDirectory } from "../decisions/peer_directory.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import { isPeerInfo, parseEnvelope } from "./peer_messages.ts";
import {
  canReceive,
  isKnownKind,
  type MessageKind,
  PROTOCOL_VERSION,
} from "./protocol_version.ts";

const NEW_KIND: MessageKind = "take_credits";
const OLD = buildPeer("old");
const NEW = buildPeer("new", { protocol: PROTOCOL_VERSION });

describe("protocol versions", () => {
  it("count a gateway without a stated version as the first", () => {
    // Guards against a new kind that closes an old build's connections.
    expect(canReceive(OLD, "hello")).to.equal(true);
    expect(canReceive(OLD, NEW_KIND)).to.equal(false);
    expect(canReceive(NEW, NEW_KIND)).to.equal(true);
  });

  it("don't take inherited names for kinds", () => {
    // Guards against a lookup that finds a property of every object.
    expect(isKnownKind("toString")).to.equal(false);
    expect(isKnownKind(undefined)).to.equal(false);
  });

  it("keep gateways that don't know a kind from being its home", () => {
    // Guards against a home that can't be called.
    const self = buildPeer("self", { protocol: PROTOCOL_VERSION });
    const directory = new PeerDirectory(self);
    directory.add(OLD);
    directory.add(NEW);
    const keys = Array.from({ length: 40 }, (_, index) => `key-${index}`);
    const choose = (filter: { kind?: MessageKind }) =>
      new Set(
        keys.map((key) => directory.chooseHomeIn(undefined, key, filter).vmId),
      );
    expect([...choose({})].sort()).to.deep.equal(["new", "old", "self"]);
    expect([...choose({ kind: NEW_KIND })].sort())
      .to.deep.equal(["new", "self"]);
    expect(directory.sortHomes("k", { kind: NEW_KIND })).to.have.length(2);
  });

  it("tell an unknown kind from an unreadable message", () => {
    // Guards against a closed connection on a later build's message.
    const parsed = parseEnvelope({ from: NEW, message: { kind: "later" } });
    expect(parsed.map(({ kind }) => kind).unwrapOr("known"))
      .to.equal("unknown");
    expect(parseEnvelope({ message: { kind: "hello" } }).isErr())
      .to.equal(true);
  });

  it("refuse an entry with an unreadable version", () => {
    // Guards against a version that compares as true with every kind's.
    expect(isPeerInfo({ ...NEW, protocol: "2" })).to.equal(false);
    expect(isPeerInfo(OLD)).to.equal(true);
  });
});

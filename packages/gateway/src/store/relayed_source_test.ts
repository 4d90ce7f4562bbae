import { expect } from "chai";
import { err, ok } from "neverthrow";
import { PeerDirectory, type PeerInfo } from "../decisions/peer_directory.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { GatewayLog } from "../log.ts";
import type { PeerResponse } from "../peers/peer_messages.ts";
import type { ObjectSource } from "./object_source.ts";
import { RelayedSource } from "./relayed_source.ts";
import { VirtualTime } from "../accounts/virtual_time_test.ts";
import { buildPeer } from "../peer_fixture_test.ts";

const MAX_AGE_MS = 900;

const IDS = ["a", "b", "c", "d", "e", "f"];
const ORDER = new PeerDirectory(buildPeer("a"));
for (const id of IDS) ORDER.add(buildPeer(id));
const SORTED = ORDER.sortRelays().map(({ vmId }) => vmId);

/** The source of the gateway that ranks last, and the ages of others' copies. */
function buildSource(
  ageByPeer: Readonly<Record<string, number>>,
  isStoreRefusing: boolean,
  { onCall, heldMs, ...bound }: {
    onCall?: () => void;
    heldMs?: number;
    isAgeBound?: boolean;
    needsAgeBound?: boolean;
  } = {},
) {
  const selfId = SORTED.at(-1) ?? "";
  const directory = new PeerDirectory(buildPeer(selfId));
  for (const id of IDS) directory.add(buildPeer(id));
  const called: string[] = [];
  const value = { changes: [], revision: 9 };
  const store: ObjectSource = {
    list: () => {
      called.push("store");
      const listed = { objects: [], revision: 12 };
      return Promise.resolve(ok({ value: listed, ageMs: 0, source: "store" }));
    },
    watch: () => {
      called.push("store");
      return Promise.resolve(
        isStoreRefusing
          ? err({ kind: "refused" as const, detail: "status 503" })
          : ok({ value, ageMs: 0, source: "store" }),
      );
    },
  };
  const links = {
    call: (peer: PeerInfo): Promise<PeerResponse | undefined> => {
      called.push(peer.vmId);
      onCall?.();
      const ageMs = ageByPeer[peer.vmId];
      return Promise.resolve(
        ageMs === undefined ? undefined : {
          from: peer,
          changes: value,
          listed: { objects: [], revision: 9 },
          ageMs,
          ...(heldMs === undefined ? {} : { heldMs }),
          ...(bound.isAgeBound === true ? { isAgeBound: true } : {}),
        },
      );
    },
  };
  const source = new RelayedSource({
    store,
    directory,
    links,
    log: new GatewayLog({ write: (_text, done) => done() }, "test"),
    metrics: new GatewayMetrics(),
    selfId,
    getPeerWaitMs: () => MAX_AGE_MS,
    getMaxAgeMs: () => MAX_AGE_MS,
    needsAgeBound: () => bound.needsAgeBound === true,
  });
  return { source, called };
}

describe("relayed source", () => {
  const [first = "", second = "", third = "", fourth = ""] = SORTED;

  it("watches at the gateway above whose copy is recent", async () => {
    const { source, called } = buildSource({ [first]: 5, [second]: 5 }, false);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(called).to.deep.equal([second]);
  });

  it("calls the store when the relays' copies are too old", async () => {
    const old = MAX_AGE_MS + 1;
    const ageByPeer = { [first]: old, [second]: old };
    const { source, called } = buildSource(ageByPeer, false);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(called).to.deep.equal([second, first, "store"]);
  });

  it("calls a gateway that reaches the store when the store refuses", async () => {
    const ageByPeer = { [first]: 2_000, [second]: 2_000, [fourth]: 5 };
    const { source, called } = buildSource(ageByPeer, true);
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(called).to.deep.equal([second, first, "store", third, fourth]);
    // The store isn't called again while another gateway has a recent copy.
    called.length = 0;
    expect((await source.watch("targets", 1)).isOk()).to.equal(true);
    expect(called).to.deep.equal([second, first, third, fourth]);
  });

  it("counts the time on the way into the age of a relay's copy", async () => {
    const time = new VirtualTime();
    try {
      const { source, called } = buildSource(
        { [second]: 5, [first]: 5 },
        false,
        {
          onCall: () => time.advance(MAX_AGE_MS * 2),
          heldMs: MAX_AGE_MS,
        },
      );
      const result = await source.watch("targets", 1);
      expect(result.isOk() && result.value.source).to.equal("store");
      expect(called).to.deep.equal([second, first, "store"]);
    } finally {
      time.restore();
    }
  });

  // The build before counts a watch without changes as age 0, however long the
  // response took, so that its copy may hide the removal of a key.
  it("takes an older build's copy, but not its age where that must hold", async () => {
    const ages = { [second]: 5 };
    for (const isAgeBound of [false, true]) {
      const strict = buildSource(ages, false, {
        isAgeBound,
        needsAgeBound: true,
      });
      const age = isAgeBound ? 5 : Number.POSITIVE_INFINITY;
      for (const call of ["watch", "list"] as const) {
        const result = (await strict.source[call]("configuration", 1))
          ._unsafeUnwrap();
        expect(result.source).to.equal(second);
        if (isAgeBound) expect(result.ageMs).to.be.within(age, age + 100);
        else expect(result.ageMs).to.equal(age);
      }
    }
    const { source } = buildSource(ages, false);
    expect((await source.watch("configuration", 1))._unsafeUnwrap().ageMs)
      .to.be.within(5, 105);
  });

  it("accepts no list that is older than what it knows", async () => {
    const { source, called } = buildSource({ [second]: 5, [first]: 5 }, false);
    const listed = await source.list("targets", 10);
    expect(listed.isOk() && listed.value.source).to.equal("store");
    expect(called).to.deep.equal([second, first, "store"]);
    const older = await source.list("targets", 9);
    expect(older.isOk() && older.value.source).to.equal(second);
  });

  it("reports the store's failure when no gateway has a recent copy", async () => {
    const { source } = buildSource({}, true);
    const result = await source.watch("targets", 1);
    expect(result.isErr() && result.error.kind).to.equal("refused");
  });
});

import { expect } from "chai";
import {
  type FirstAllowanceRefusal,
  FirstAllowances,
} from "../decisions/first_allowances.ts";
import { buildShardTable, type ShardHolder } from "../decisions/shard_table.ts";
import { GatewayLog } from "../log.ts";
import { buildPeer } from "../peer_fixture_test.ts";
import type { PeerMessage } from "../peers/peer_messages.ts";
import { PROTOCOL_VERSION } from "../peers/protocol_version.ts";
import { FirstAllowanceClient } from "./first_allowance_client.ts";
import { FirstAllowanceGranter } from "./first_allowance_granter.ts";
import { MemoryGrantRecords } from "./grant_records_fixture_test.ts";

const BUDGET_TOKENS = 80;
const REQUEST = {
  programId: "p",
  budgetTokens: BUDGET_TOKENS,
  wantedTokens: 10,
};
const LOG = new GatewayLog({ write: (_text, done) => done() }, "test");

function buildTable(change: Partial<ShardHolder> = {}): ShardHolder[] {
  const holder = { vmId: "a", bootId: "boot a", recordsGrants: true };
  return buildShardTable([holder]).map((each) => ({ ...each, ...change }));
}

describe("the granter of first allowances", () => {
  let records: MemoryGrantRecords;
  let allowances: FirstAllowances;
  let granter: FirstAllowanceGranter;

  /** Starts a process that holds every shard. */
  function start(change: Partial<ShardHolder> = {}): void {
    allowances = new FirstAllowances("boot a");
    allowances.applyTable(buildTable(change), performance.now());
    allowances.confirmTable(performance.now(), Date.now());
    granter = new FirstAllowanceGranter({
      allowances,
      records,
      log: LOG,
      describeTable: () => ({ revision: 1, age_ms: 0 }),
    });
  }

  beforeEach(() => {
    records = new MemoryGrantRecords();
    start();
  });

  async function grantTokens(): Promise<number | string> {
    const grant = await granter.grant(REQUEST);
    return grant.kind === "granted" ? grant.tokens : grant.reason;
  }

  it("grants no part twice, also to requests at the same time", async () => {
    const grants = await Promise.all(
      Array.from({ length: 6 }, () => grantTokens()),
    );
    expect(grants).to.deep
      .equal([10, 10, 10, 10, "given_before", "given_before"]);
    expect(records.parts.get("p")).to.equal(4);
  });

  it("goes on after its predecessor's last part", async () => {
    await grantTokens();
    start({ isDoubtful: true });
    expect([await grantTokens(), await grantTokens(), await grantTokens()])
      .to.deep.equal([10, 10, 10]);
    expect(await grantTokens()).to.equal("given_before");
  });

  // Otherwise the next holder would grant the same part.
  it("grants nothing that isn't recorded", async () => {
    records.isReachable = false;
    expect(await grantTokens()).to.equal("not_recorded");
    records.isReachable = true;
    expect(await grantTokens()).to.equal(10);
  });

  it("refuses at once while too few disks are known", async () => {
    records.canSave = false;
    records.save = () => new Promise(() => {});
    expect(await grantTokens()).to.equal("not_recorded");
  });

  it("grants nothing while it can't find out what was granted", async () => {
    start({ isDoubtful: true });
    records.isReachable = false;
    expect(await grantTokens()).to.equal("not_found_out");
    records.isReachable = true;
    expect(await grantTokens()).to.equal(10);
  });

  // A holder that's cut off from the others may still reach the disks.
  for (
    const { name, change } of [
      { name: "lost the shard", change: { bootId: "boot b" } },
      { name: "lost it and got it back", change: { isDoubtful: true } },
    ]
  ) {
    it(`grants nothing if it ${name} during the save`, async () => {
      let confirm = (): void => {};
      records.save = () =>
        new Promise((resolve) => confirm = () => resolve(true));
      const granted = grantTokens();
      await new Promise((resolve) => setTimeout(resolve, 5));
      allowances.applyTable(buildTable({ bootId: "boot b" }), 0);
      allowances.applyTable(buildTable(change), performance.now());
      confirm();
      expect(await granted).to.equal("not_held");
    });
  }

  it("grants nothing if the table grew too old during the save", async () => {
    records.save = () => {
      // The VM was suspended.
      const { now } = Date;
      Date.now = () => now() + 40_000;
      setTimeout(() => Date.now = now, 5);
      return Promise.resolve(true);
    };
    expect(await grantTokens()).to.equal("stale");
    await new Promise((resolve) => setTimeout(resolve, 10));
  });

  it("grants all at once to a home that knows no parts, or nothing", async () => {
    expect(await granter.grantWhole("q")).to.equal(true);
    expect(records.parts.get("q")).to.equal(4);
    expect(await granter.grantWhole("q")).to.equal(false);
    await grantTokens();
    expect(await granter.grantWhole("p")).to.equal(false);
  });

  it("grants without a record in a table of an older build", async () => {
    start({ isRecorded: false });
    records.isReachable = false;
    expect(await grantTokens()).to.equal(40);
    expect(await grantTokens()).to.equal("given_before");
  });

  it("records the earlier grants of such a table", async () => {
    start({ isRecorded: false });
    expect(await grantTokens()).to.equal(40);
    records.isReachable = false;
    expect(await granter.recordEarlier()).to.equal(false);
    records.isReachable = true;
    expect(await granter.recordEarlier()).to.equal(true);
    expect(records.parts.get("p")).to.equal(4);
  });
});

describe("the client of first allowances", () => {
  const calls: PeerMessage["kind"][] = [];

  function buildClient(
    protocol: number,
    reason?: FirstAllowanceRefusal,
  ): FirstAllowanceClient {
    const holder = buildPeer("b", { bootId: "boot b", protocol });
    calls.length = 0;
    return new FirstAllowanceClient({
      self: buildPeer("a"),
      directory: { findLive: () => holder } as never,
      shards: {
        findHolder: () => ({ ...holder, isDoubtful: false }),
        granter: undefined as never,
      },
      links: {
        call: (_peer, message) => {
          calls.push(message.kind);
          const firstGrant = reason === undefined
            ? { kind: "granted", tokens: 10, isLast: false }
            : { kind: "refused", reason };
          return Promise.resolve(
            message.kind === "grant_parts"
              ? { from: holder, firstGrant } as never
              : { from: holder, isGiven: calls.length === 1 },
          );
        },
      },
    });
  }

  // In the seconds after a loss of power each request crossed regions in vain.
  it("pauses after the holder's VM says that it isn't the holder", async () => {
    const client = buildClient(PROTOCOL_VERSION, "not_held");
    for (let at = 0; at < 3; at += 1) {
      expect(await client.acquire(REQUEST))
        .to.deep.equal({ kind: "refused", reason: "not_held" });
    }
    expect(calls).to.deep.equal(["grant_parts"]);
  });

  it("asks again after another refusal", async () => {
    const client = buildClient(PROTOCOL_VERSION, "not_recorded");
    await client.acquire(REQUEST);
    await client.acquire(REQUEST);
    expect(calls).to.deep.equal(["grant_parts", "grant_parts"]);
  });

  it("requests a part from a holder of this build", async () => {
    const client = buildClient(PROTOCOL_VERSION);
    expect(await client.acquire(REQUEST)).to.include({ tokens: 10 });
    expect(calls).to.deep.equal(["grant_parts"]);
  });

  it("requests all from a holder of the build before, once", async () => {
    const client = buildClient(2);
    expect(await client.acquire(REQUEST))
      .to.deep.equal({ kind: "granted", tokens: 40, isLast: true });
    expect(await client.acquire(REQUEST))
      .to.deep.equal({ kind: "refused", reason: "given_before" });
    expect(calls).to.deep.equal(["grant_first", "grant_first"]);
  });
});

import { expect } from "chai";
import {
  FirstAllowances,
  MAX_PROGRAM_LIFETIME_MS,
  MAX_TABLE_AGE_MS,
} from "./first_allowances.ts";
import {
  buildShardTable,
  decodeShardTable,
  encodeShardTable,
  updateEndedHolders,
  updateHolder,
} from "./shard_table.ts";

const HOLDERS = ["a", "b", "c"]
  .map((vmId) => ({ vmId, bootId: `boot ${vmId}` }));
const ONE_HOLDER = [{ vmId: "a", bootId: "boot a" }];

/** Builds the first allowances of a process that holds every shard. */
function buildAllowances(isDoubtful = false): FirstAllowances {
  const allowances = new FirstAllowances("boot a");
  const table = buildShardTable(ONE_HOLDER).map((each) => ({
    ...each,
    isDoubtful,
  }));
  allowances.applyTable(table, 0);
  allowances.confirmTable(0, 0);
  return allowances;
}

describe("first allowances", () => {
  it("are granted once per program", () => {
    const allowances = buildAllowances();
    expect(allowances.grant("p", 0, 0)).to.equal(undefined);
    expect(allowances.grant("p", 1, 1)).to.equal("given_before");
    expect(allowances.grant("q", 1, 1)).to.equal(undefined);
  });

  it("aren't granted by a process that isn't in the table", () => {
    const allowances = new FirstAllowances("boot z");
    allowances.applyTable(buildShardTable(HOLDERS), 0);
    allowances.confirmTable(0, 0);
    expect(allowances.grant("p", 0, 0)).to.equal("not_held");
  });

  it("aren't granted while an earlier holder's may still be spent", () => {
    const allowances = buildAllowances(true);
    expect(allowances.grant("p", 0, 0)).to.equal("doubtful");
    const later = MAX_PROGRAM_LIFETIME_MS + 3 * MAX_TABLE_AGE_MS;
    allowances.confirmTable(later, later);
    expect(allowances.grant("p", later, later)).to.equal(undefined);
  });

  it("aren't granted on a stale table, even after the VM was suspended", () => {
    const allowances = buildAllowances();
    expect(allowances.grant("p", MAX_TABLE_AGE_MS + 1, 0)).to.equal("stale");
    expect(allowances.grant("p", 0, MAX_TABLE_AGE_MS + 1)).to.equal("stale");
  });

  it("aren't granted after the shards were released", () => {
    const allowances = buildAllowances();
    allowances.grant("p", 0, 0);
    expect(allowances.release()).to.deep.equal(["p"]);
    expect(allowances.grant("q", 0, 0)).to.equal("not_held");
  });

  it("aren't granted again by the next holder", () => {
    const allowances = buildAllowances();
    allowances.addGranted(["p"], 0);
    expect(allowances.grant("p", 0, 0)).to.equal("given_before");
  });

  it("expire with their program", () => {
    const allowances = buildAllowances();
    allowances.grant("p", 0, 0);
    allowances.removeExpired(MAX_PROGRAM_LIFETIME_MS + 1);
    expect(allowances.release()).to.deep.equal([]);
  });
});

describe("shard table", () => {
  it("is the same after encoding and decoding", () => {
    const table = buildShardTable(HOLDERS);
    expect(decodeShardTable(encodeShardTable(table))._unsafeUnwrap())
      .to.deep.equal(table);
  });

  it("assigns about the same number of shards to every process", () => {
    const table = buildShardTable(HOLDERS);
    for (const { vmId } of HOLDERS) {
      expect(table.filter((each) => each.vmId === vmId).length)
        .to.be.within(250, 430);
    }
  });

  it("keeps the other holders when one has ended", () => {
    const table = buildShardTable(HOLDERS);
    const changed = updateEndedHolders(
      table,
      HOLDERS.slice(1),
      ({ vmId }) => vmId === "a",
    );
    for (const [shard, before] of table.entries()) {
      if (before.vmId !== "a") expect(changed?.[shard]).to.equal(before);
      else expect(changed?.[shard]).to.include({ isDoubtful: true });
    }
    expect(updateEndedHolders(table, HOLDERS, () => false)).to.equal(undefined);
  });

  it("keeps shards unverified when they are transferred", () => {
    const unverified = buildShardTable(ONE_HOLDER)
      .map((each) => ({ ...each, isDoubtful: true }));
    const transferred = updateHolder(unverified, "boot a", {
      vmId: "b",
      bootId: "2",
    });
    expect(transferred[0]).to.deep
      .equal({ vmId: "b", bootId: "2", isDoubtful: true });
  });

  it("isn't decoded from a malformed object", () => {
    for (
      const value of [undefined, "text", { holders: [] }, {
        holders: [{ vmId: 1 }],
        shards: Array(1_024).fill(0),
      }, { holders: [], shards: [1] }]
    ) {
      expect(decodeShardTable(value).isErr()).to.equal(true);
    }
  });
});

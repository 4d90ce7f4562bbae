import { expect } from "chai";
import {
  FirstAllowances,
  PROGRAM_LIFE_MS,
  TABLE_FRESH_MS,
} from "./first_allowances.ts";
import {
  buildShardTable,
  decodeShardTable,
  encodeShardTable,
  updateEnded,
  updateHolder,
} from "./shard_table.ts";

const HOLDERS = ["a", "b", "c"]
  .map((vmId) => ({ vmId, bootId: `boot ${vmId}` }));
const ONE = [{ vmId: "a", bootId: "boot a" }];

/** First allowances of a process that holds every shard. */
function buildFirst(isDoubtful = false): FirstAllowances {
  const first = new FirstAllowances("boot a");
  const table = buildShardTable(ONE).map((each) => ({ ...each, isDoubtful }));
  first.applyTable(table, 0);
  first.confirmTable(0, 0);
  return first;
}

describe("first allowances", () => {
  it("are given once to a program", () => {
    const first = buildFirst();
    expect(first.grant("p", 0, 0)).to.equal(undefined);
    expect(first.grant("p", 1, 1)).to.equal("given_before");
    expect(first.grant("q", 1, 1)).to.equal(undefined);
  });

  it("aren't given by a process that the table doesn't name", () => {
    const first = new FirstAllowances("boot z");
    first.applyTable(buildShardTable(HOLDERS), 0);
    first.confirmTable(0, 0);
    expect(first.grant("p", 0, 0)).to.equal("not_held");
  });

  it("aren't given while an earlier holder's may still be spent", () => {
    const first = buildFirst(true);
    expect(first.grant("p", 0, 0)).to.equal("doubtful");
    const later = PROGRAM_LIFE_MS + 3 * TABLE_FRESH_MS;
    first.confirmTable(later, later);
    expect(first.grant("p", later, later)).to.equal(undefined);
  });

  it("aren't given on an old table, also after the VM was suspended", () => {
    const first = buildFirst();
    expect(first.grant("p", TABLE_FRESH_MS + 1, 0)).to.equal("stale");
    expect(first.grant("p", 0, TABLE_FRESH_MS + 1)).to.equal("stale");
  });

  it("aren't given any more once the shards were given away", () => {
    const first = buildFirst();
    first.grant("p", 0, 0);
    expect(first.release()).to.deep.equal(["p"]);
    expect(first.grant("q", 0, 0)).to.equal("not_held");
  });

  it("are known to the next holder", () => {
    const first = buildFirst();
    first.addGiven(["p"], 0);
    expect(first.grant("p", 0, 0)).to.equal("given_before");
  });

  it("are forgotten when their program is over", () => {
    const first = buildFirst();
    first.grant("p", 0, 0);
    first.removeOld(PROGRAM_LIFE_MS + 1);
    expect(first.release()).to.deep.equal([]);
  });
});

describe("shard table", () => {
  it("is the same after it was encoded and decoded", () => {
    const table = buildShardTable(HOLDERS);
    expect(decodeShardTable(encodeShardTable(table))._unsafeUnwrap())
      .to.deep.equal(table);
  });

  it("gives every process about the same part", () => {
    const table = buildShardTable(HOLDERS);
    for (const { vmId } of HOLDERS) {
      expect(table.filter((each) => each.vmId === vmId).length)
        .to.be.within(250, 430);
    }
  });

  it("keeps the other holders when one has ended", () => {
    const table = buildShardTable(HOLDERS);
    const changed = updateEnded(
      table,
      HOLDERS.slice(1),
      ({ vmId }) => vmId === "a",
    );
    for (const [shard, before] of table.entries()) {
      if (before.vmId !== "a") expect(changed?.[shard]).to.equal(before);
      else expect(changed?.[shard]).to.include({ isDoubtful: true });
    }
    expect(updateEnded(table, HOLDERS, () => false)).to.equal(undefined);
  });

  it("keeps doubt when shards move", () => {
    const doubtful = buildShardTable(ONE)
      .map((each) => ({ ...each, isDoubtful: true }));
    const moved = updateHolder(doubtful, "boot a", { vmId: "b", bootId: "2" });
    expect(moved[0]).to.deep
      .equal({ vmId: "b", bootId: "2", isDoubtful: true });
  });

  it("isn't taken from another writer's object", () => {
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
